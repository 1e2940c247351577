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

// testSeeds limits the number of seeds with which a test simulates a trace. The
// command replay uses all seeds of the trace.
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
			for _, o := range load(t, name).WithSeeds(testSeeds).Run() {
				if !o.Met {
					t.Error(o)
				}
			}
		})
	}
}

// TestChecksDetectDefects injects a defect into the members and requires that the
// checks report the broken promise. It guards against checks that detect nothing.
func TestChecksDetectDefects(t *testing.T) {
	cases := map[string]struct {
		trace  string
		defect string
		want   string
	}{
		"confirmation ignores the term": {
			"strih-letu-split-owners", simul.DefectTerm, "acknowledged",
		},
		"failover ignores log positions": {
			"strih-letu-lagging-replica", simul.DefectMarks, "lost",
		},
		"replies do not wait for a majority": {
			"vaahtera-primary-isolated", simul.DefectReceived, "acknowledged",
		},
		"reads ignore the session's floor": {
			"strih-letu-session-moves", simul.DefectApplied, "own write",
		},
		"idempotency keys are not checked": {
			"vaahtera-owner-crashes", simul.DefectKeys, "ran",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violations := load(t, "../../testdata/traces/"+c.trace+".jsonl").WithDefect(c.defect).Violations()
			if len(violations) == 0 || !strings.Contains(strings.Join(violations, "\n"), c.want) {
				t.Fatalf("the checks reported %d violations, none with %q", len(violations), c.want)
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
			t.Fatal("accepted a trace without a name")
		}
	})
}
