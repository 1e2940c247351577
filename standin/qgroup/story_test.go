package qgroup_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/reqlog"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// runLogged is like runWithHosts, and passes a function that returns the story of a
// request or target from the logs of all hosts.
func runLogged(t *testing.T, n, hosts int, f func(t *testing.T, c *testCluster, story func(id string) string)) {
	t.Helper()
	runWithHosts(t, n, 0, func(ctx context.Context, t *testing.T, c *testCluster) {
		var mu sync.Mutex
		var lines bytes.Buffer
		encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
			TimeKey: "Time", NameKey: "Host", MessageKey: "Message",
			EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeDuration: zapcore.MillisDurationEncoder,
		})
		core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(writerFunc(func(line []byte) {
			mu.Lock()
			defer mu.Unlock()
			lines.Write(line)
		}))), zap.InfoLevel)
		c.log = func(host int) *zap.Logger { return zap.New(core).Named(fmt.Sprintf("host-%d", host)) }
		for range hosts {
			c.startHost(ctx)
		}
		time.Sleep(time.Second)
		is := is.New(t)
		f(t, c, func(id string) string {
			mu.Lock()
			defer mu.Unlock()
			var text strings.Builder
			rl, err := reqlog.New(bytes.NewReader(lines.Bytes()), id)
			is.NoErr(err)
			is.NoErr(rl.Write(&text))
			return text.String()
		})
	})
}

// writerFunc is a writer that passes what is written to a function.
type writerFunc func(line []byte)

func (f writerFunc) Write(line []byte) (int, error) {
	f(line)
	return len(line), nil
}

// The story of a commit names each member that the next promotion rested on, and each one
// that it was safe to leave out.
func TestStoryOfACommitTellsWhatThePromotionRestedOn(t *testing.T) {
	runLogged(t, 4, 2, func(t *testing.T, c *testCluster, story func(id string) string) {
		is := is.New(t)
		c.group.StartEmpty(3)
		time.Sleep(time.Second)
		c.group.SetLeaving(2, true)
		time.Sleep(time.Second)
		c.group.Crash(2)
		time.Sleep(2 * member.AbsentAfter)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		c.group.Crash(0)
		_, ok := cl.writeUntilOK(3 * maxWriteGap)
		is.True(ok)
		for _, id := range []string{"q1", fmt.Sprintf("g-%d", c.group.Leader())} {
			text := story(id)
			for _, want := range []string{
				`ID="g-0" Address="10.0.0.1:1" Counted="not demoted"`,
				`ID="g-1" Address="10.0.0.2:1" Counted="stopped" Held=2 Received="1/1" Started=1 Term=1`,
				`ID="g-2" Address="10.0.0.3:1" AgoMs=`,
				`Counted="left out, gone" Leaving=true MissingMs=`,
				`ID="g-3" Address="10.0.0.4:1" Counted="stopped" Held=2 Received="1/1" Started=2 Term=1`,
				`promotion ordered Answer="accepted"`,
			} {
				if !strings.Contains(text, want) {
					t.Errorf("the story of %s lacks %q:\n%s", id, want, text)
				}
			}
		}
		for _, want := range []string{`ID="g-2" Address="10.0.0.3:1" HeardMs=-1 Leaving=true Registered=false`, `commit acknowledged Group="g" ID="q1" Mark="1/1" Target="g-0" View=`} {
			if !strings.Contains(story("q1"), want) {
				t.Errorf("the story of the commit lacks %q:\n%s", want, story("q1"))
			}
		}
	})
}

// A member that is asked in vain until it is absent is listed once, as the fact that allowed
// the promotion.
func TestMemberThatIsAbsentIsListedOnce(t *testing.T) {
	runLogged(t, 4, 1, func(t *testing.T, c *testCluster, story func(id string) string) {
		is := is.New(t)
		c.group.StartEmpty(3)
		time.Sleep(time.Second)
		c.group.Crash(2)
		time.Sleep(member.AbsentAfter - 2*time.Second)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		c.group.Crash(0)
		_, ok := cl.writeUntilOK(3 * maxWriteGap)
		is.True(ok)
		text := story("q1")
		is.True(strings.Contains(text, "target not paused"))
		_, counted, _ := strings.Cut(text[:strings.Index(text, "promotion ordered")], "Safe=true")
		is.Equal(strings.Count(counted, `ID="g-2"`), 1)
		is.True(strings.Contains(counted, `Counted="left out, absent" Error=`))
	})
}
