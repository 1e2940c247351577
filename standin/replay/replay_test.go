package replay_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/standin/replay"
	"github.com/pistachiotray/pistachiotray/standin/simul"
)

// testSeeds bounds the seeds of a trace in a test; the command replay plays
// all of them.
const testSeeds = 4

func load(t *testing.T, name string) *replay.Replay {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(name)
	is.NoErr(err)
	r, err := replay.New(name, text)
	is.NoErr(err)
	return r
}

func TestTraces(t *testing.T) {
	names, err := filepath.Glob("../../testdata/traces/*.jsonl")
	if err != nil || len(names) < 30 {
		t.Fatalf("%d traces, %v", len(names), err)
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			t.Parallel()
			for _, f := range load(t, name).WithSeeds(testSeeds).Run() {
				if !f.Met {
					t.Error(f)
				}
			}
		})
	}
}

// TestChecksCatch breaks a mechanism and expects the checks to see it.
func TestChecksCatch(t *testing.T) {
	cases := map[string]struct {
		trace string
		lie   string
		want  string
	}{
		"confirmation that ignores the term": {
			"strih-letu-split-owners", simul.DefectTerm, "acknowledged",
		},
		"replacement that ignores the marks": {
			"strih-letu-lagging-replica", simul.DefectMarks, "lost",
		},
		"replies that do not wait for a majority": {
			"vaahtera-primary-isolated", simul.DefectReceived, "acknowledged",
		},
		"reads that ignore the session's floor": {
			"strih-letu-session-moves", simul.DefectApplied, "own write",
		},
		"keys that are not checked": {
			"vaahtera-owner-crashes", simul.DefectKeys, "ran",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faults := load(t, "../../testdata/traces/"+c.trace+".jsonl").WithDefect(c.lie).Violations()
			if len(faults) == 0 || !strings.Contains(strings.Join(faults, "\n"), c.want) {
				t.Fatalf("the checks saw %d faults, none with %q", len(faults), c.want)
			}
		})
	}
}

func FuzzNew(f *testing.F) {
	f.Add([]byte(`{"Trace":"t","Slots":2}` + "\n" + `{"At":"1s","Do":"Write","Session":"s","Id":"a"}` + "\n" + `{"Expect":"Outcome","Id":"a","Is":"Done"}`))
	f.Add([]byte(`{"Do":"Write"}`))
	f.Add([]byte(`{"Trace":"t"}` + "\n" + `{"Expect":"Gap"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := replay.New("f", text)
		if err == nil && r.Name() == "" {
			t.Fatal("took a trace without a name")
		}
	})
}
