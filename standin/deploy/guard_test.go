package deploy_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/connection/oper"
	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/standin/caller"
	"github.com/pistachiotray/pistachiotray/standin/certs"
	"github.com/pistachiotray/pistachiotray/standin/deploy"
)

// writeSecret writes a file that only its owner can read, and returns its path.
func writeSecret(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Callers need a password and operators need a key. A session token is valid at
// another host that has the same keys. No secret may appear in the log.
func TestCredentialsAreRequired(t *testing.T) {
	is := is.New(t)
	cert, key, err := certs.Write(t.TempDir())
	is.NoErr(err)
	users := writeSecret(t, "users", "clerk:soap-and-lather\n")
	peerKey := writeSecret(t, "peer", "peer-key-9f3\n")
	tokens := writeSecret(t, "tokens", "b:second-secret-key\na:first-secret-key\n")
	core, logs := observer.New(zap.DebugLevel)
	d, ctx := startDeployment(t, deploy.WithLog(zap.New(core)), deploy.WithSettings(func(_ int, c conf.Settings) conf.Settings {
		c.UsersFile, c.PeerKeyFile, c.TokenKeysFile = users, peerKey, tokens
		c.TLSCertFile, c.TLSKeyFile = cert, key
		c.PeerTLSCertFile, c.PeerTLSKeyFile, c.PeerTLSCAFile = cert, key, cert
		return c
	}))
	_, err = pgx.Connect(ctx, d.DSN(0, "fittings")+"&password=wrong")
	is.True(err != nil && strings.Contains(err.Error(), "28P01"))
	dsn := strings.Replace(d.DSN(0, "fittings"), "clerk@", "clerk:soap-and-lather@", 1)
	dsn = strings.Replace(dsn, "sslmode=disable", "sslmode=require", 1)
	c, err := caller.New(ctx, dsn)
	is.NoErr(err)
	defer c.Drop()
	exec(ctx, t, c, "CREATE TABLE guarded (id int)")
	other := strings.Replace(dsn, d.Settings(0).Listen, d.Settings(1).Listen, 1)
	is.NoErr(c.Reconnect(ctx, other, false))
	exec(ctx, t, c, "INSERT INTO guarded VALUES (1)")
	operators := "https://" + d.Settings(0).OperatorListen
	_, err = oper.New(operators, "", http.DefaultClient).Command(ctx, "status")
	is.True(err != nil)
	for _, l := range logs.All() {
		text := l.Message
		for _, f := range l.Context {
			text += f.String
		}
		for _, secret := range []string{"soap-and-lather", "peer-key-9f3", "secret-key"} {
			if strings.Contains(text, secret) {
				t.Fatalf("a secret is in the log: %s", text)
			}
		}
	}
}

func TestOperatorsNeedTheKey(t *testing.T) {
	is := is.New(t)
	peerKey := writeSecret(t, "peer", "peer-key-9f3\n")
	d, ctx := startDeployment(t, deploy.WithSettings(func(_ int, c conf.Settings) conf.Settings {
		c.PeerKeyFile = peerKey
		return c
	}))
	address := d.Settings(0).OperatorListen
	for _, name := range []string{"status", "drain", "explain", "switch"} {
		_, err := oper.New(address, "wrong", http.DefaultClient).Command(ctx, name)
		is.True(err != nil)
	}
	text, err := oper.New(address, "peer-key-9f3", http.DefaultClient).Command(ctx, "status")
	is.NoErr(err)
	is.True(bytes.Contains(text, []byte("host-0")))
	is.True(!bytes.Contains(text, []byte("peer-key-9f3")))
	answer, err := http.Get("http://" + address + "/debug/vars")
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusUnauthorized)
	_ = answer.Body.Close()
	readyAnswer, err := http.Get("http://" + address + "/ready")
	is.NoErr(err)
	is.Equal(readyAnswer.StatusCode, http.StatusOK)
	_ = readyAnswer.Body.Close()
}

func TestForgedAndForeignTokens(t *testing.T) {
	is := is.New(t)
	d, ctx := startDeployment(t, deploy.WithDatabases("fittings", "orders"))
	c := connect(ctx, t, d, 0)
	exec(ctx, t, c, "CREATE TABLE x (id int)")
	token := c.Token()
	cases := map[string]struct {
		database, token string
		ok              bool
	}{
		"token of this database":    {"fittings", token, true},
		"token of another database": {"orders", token, false},
		"forged token":              {"fittings", token[:len(token)-4] + "AAAA", false},
		"malformed token":           {"fittings", "garbage", false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config, err := pgx.ParseConfig(d.DSN(1, tt.database))
			is.NoErr(err)
			config.RuntimeParams["pistachiotray.session"] = tt.token
			conn, err := pgx.ConnectConfig(ctx, config)
			is.Equal(err == nil, tt.ok)
			if err == nil {
				_ = conn.Close(ctx)
				return
			}
			is.True(strings.Contains(err.Error(), code.BadToken.SQLState()))
		})
	}
}

// dialRaw opens a TCP connection to host 0, sends p and returns the connection.
func dialRaw(t *testing.T, d *deploy.Deployment, p []byte) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", d.Settings(0).Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = conn.Write(p)
	return conn
}

// startupBytes returns the encoded startup message of a caller.
func startupBytes(t *testing.T) []byte {
	t.Helper()
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "clerk", "database": "fittings"}}
	p, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestMalformedInputGetsErrorAndClose(t *testing.T) {
	d, _ := startDeployment(t, deploy.WithSettings(func(_ int, c conf.Settings) conf.Settings {
		c.MessageLimit = 4096
		return c
	}))
	startup := startupBytes(t)
	tooLong := binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<30)
	cases := map[string]struct {
		bytes []byte
		want  code.Code
	}{
		"startup of impossible length": {[]byte{0xff, 0xff, 0xff, 0xff}, code.BadMessage},
		"unknown protocol version":     {[]byte{0, 0, 0, 8, 0, 9, 0, 0}, code.BadMessage},
		"unknown message type":         {append(bytes.Clone(startup), 'z', 0, 0, 0, 4), code.BadMessage},
		"message over the limit":       {append(bytes.Clone(startup), tooLong...), code.MessageTooLarge},
		"message of impossible length": {append(bytes.Clone(startup), 'Q', 0, 0, 0, 1), code.BadMessage},
		"unreadable Bind":              {append(bytes.Clone(startup), 'B', 0, 0, 0, 5, 'x', 'S', 0, 0, 0, 4), code.BadMessage},
		"HTTP request":                 {[]byte("GET / HTTP/1.1\r\n\r\n"), code.BadMessage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := dialRaw(t, d, c.bytes)
			if name == "unreadable Bind" {
				_, _ = conn.Write([]byte{'X', 0, 0, 0, 4})
			}
			answer, err := io.ReadAll(conn)
			is.NoErr(err)
			is.True(bytes.Contains(answer, []byte(c.want.Name())))
		})
	}
}

// Callers that connect and then send no statement must not use slots.
func TestHalfOpenCallersHoldNoSlot(t *testing.T) {
	is := is.New(t)
	d, ctx := startDeployment(t, deploy.WithSlots(1, 0))
	for range 20 {
		dialRaw(t, d, startupBytes(t))
	}
	c := connect(ctx, t, d, 0)
	v, err := c.Value(ctx, "SELECT 7")
	is.NoErr(err)
	is.Equal(v, "7")
}

// The open transaction of a caller that disconnected is rolled back after the grace
// period, and its slot is free again.
func TestDisconnectRollsTransactionBack(t *testing.T) {
	is := is.New(t)
	d, ctx := startDeployment(t, deploy.WithSlots(1, 0), deploy.WithSettings(func(_ int, c conf.Settings) conf.Settings {
		c.Grace = 100 * time.Millisecond
		return c
	}))
	c := connect(ctx, t, d, 0)
	exec(ctx, t, c, "CREATE TABLE x (id int)")
	dropped := connect(ctx, t, d, 1)
	exec(ctx, t, dropped, "BEGIN")
	exec(ctx, t, dropped, "INSERT INTO x VALUES (1)")
	dropped.Drop()
	v, err := c.Value(ctx, "SELECT count(*) FROM x")
	is.NoErr(err)
	is.Equal(v, "0")
	is.True(!c.InTransaction())
}

// An error in a pipeline fails only the pipeline. The connection remains usable.
func TestErrorInsideAPipelineStaysInside(t *testing.T) {
	is := is.New(t)
	d, ctx := startDeployment(t, deploy.WithSlots(1, 0))
	conn, err := pgx.Connect(ctx, d.DSN(1, "fittings"))
	is.NoErr(err)
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "CREATE TABLE x (id text PRIMARY KEY)")
	is.NoErr(err)
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO x VALUES ($1)", "a")
	batch.Queue("INSERT INTO x VALUES ($1)", "a")
	batch.Queue("INSERT INTO x VALUES ($1)", "b")
	is.True(conn.SendBatch(ctx, batch).Close() != nil)
	var n string
	is.NoErr(conn.QueryRow(ctx, "SELECT count(*) FROM x WHERE id <> $1", "z").Scan(&n))
	is.True(n == "0" || n == "1")
	is.NoErr(conn.QueryRow(ctx, "SELECT 'fine' WHERE $1 = 'q'", "q").Scan(&n))
	is.Equal(n, "fine")
}
