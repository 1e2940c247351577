package main_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// decisions are the packages that other front ends and test benches can use:
// they know nothing of networks, encodings or the machine's clock.
var decisions = []string{
	"request/mark", "request/code", "request/fault", "request/call", "request/result", "request/retry", "request/scan",
	"version/class", "version/rule", "version/policy",
	"process/report", "process/quorum", "process/elect", "process/timing", "process/queue", "process/group",
	"process/owner", "process/gossip", "process/swim", "process/health",
}

var forbidden = []string{"net", "net/http", "os", "github.com/jackc/pgx", "connectrpc.com/connect", "google.golang.org/protobuf"}

func TestDecisionsAreFree(t *testing.T) {
	for _, folder := range decisions {
		names, err := filepath.Glob(filepath.Join("../..", folder, "*.go"))
		if err != nil || len(names) == 0 {
			t.Fatalf("%s: %v", folder, err)
		}
		for _, name := range names {
			if !strings.HasSuffix(name, "_test.go") {
				checkFile(t, name)
			}
		}
	}
}

func checkFile(t *testing.T, name string) {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range f.Imports {
		path := strings.Trim(i.Path.Value, `"`)
		for _, bad := range forbidden {
			if path == bad || strings.HasPrefix(path, bad+"/") {
				t.Errorf("%s imports %s", name, path)
			}
		}
		if strings.Contains(path, "pistachiotray/connection/") {
			t.Errorf("%s imports %s", name, path)
		}
	}
}

func TestNoDecisionReadsTheClock(t *testing.T) {
	for _, folder := range decisions {
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
