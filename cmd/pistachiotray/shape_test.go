package main_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// decisionPackages are the packages that make decisions. Simulations and other
// front ends use them too, so they must not depend on the network, the encoding
// of messages or the system clock.
var decisionPackages = []string{
	"request/mark", "request/code", "request/fault", "request/call", "request/result", "request/retry", "request/scan",
	"version/class", "version/rule", "version/policy",
	"process/report", "process/quorum", "process/elect", "process/timing", "process/queue", "process/group",
	"process/owner", "process/gossip", "process/swim", "process/health",
	"process/delta", "process/ranks", "process/assign", "process/usage", "process/stride", "process/strain", "process/turns", "version/waits",
	"process/quota", "process/bucket", "process/claim", "process/award", "process/share", "process/books", "version/cust",
	"process/allow", "process/supply", "process/lender", "process/choice", "process/gview", "process/dryrun", "process/rating",
}

// forbiddenImports are the packages that decision packages must not import,
// including their subpackages.
var forbiddenImports = []string{"net", "net/http", "os", "github.com/jackc/pgx", "connectrpc.com/connect", "google.golang.org/protobuf"}

func TestDecisionsImportNoTransport(t *testing.T) {
	for _, folder := range decisionPackages {
		names, err := filepath.Glob(filepath.Join("../..", folder, "*.go"))
		if err != nil || len(names) == 0 {
			t.Fatalf("%s: %v", folder, err)
		}
		for _, name := range names {
			if !strings.HasSuffix(name, "_test.go") {
				checkImports(t, name)
			}
		}
	}
}

// checkImports fails the test if a file imports a forbidden package or one
// below connection.
func checkImports(t *testing.T, name string) {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range f.Imports {
		path := strings.Trim(i.Path.Value, `"`)
		for _, prefix := range forbiddenImports {
			if path == prefix || strings.HasPrefix(path, prefix+"/") {
				t.Errorf("%s imports %s", name, path)
			}
		}
		if strings.Contains(path, "pistachiotray/connection/") {
			t.Errorf("%s imports %s", name, path)
		}
	}
}

func TestDecisionsDoNotReadTheClock(t *testing.T) {
	for _, folder := range decisionPackages {
		err := filepath.WalkDir(filepath.Join("../..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			if usesClock(f) {
				t.Errorf("%s reads the clock", path)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
