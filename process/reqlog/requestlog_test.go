package reqlog_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/reqlog"
)

const lines = `  1.0 a {"Level":"info","Time":"2026-05-25T14:19:30Z","Host":"a","Message":"target fails","Group":"g","Target":"t1"}
  1.1 a {"Level":"info","Time":"2026-05-25T14:19:30.1Z","Host":"a","Message":"target fails","Group":"other","Target":"t9"}
  1.2 b {"Level":"info","Time":"2026-05-25T14:19:30.2Z","Host":"b","Message":"target fails","Group":"g","Target":"t1"}
  1.3 a {"Level":"info","Time":"2026-05-25T14:19:30.3Z","Host":"a","Message":"statement","ID":"q0","Outcome":"Done"}
  1.9 a {"Level":"info","Time":"2026-05-25T14:19:31Z","Host":"a","Message":"statement","ID":"q1","Group":"g","Outcome":"NotRunDeadline","Took":900}
  2.5 a {"Level":"info","Time":"2026-05-25T14:19:32Z","Host":"a","Message":"leader changed","Group":"g"}
spoilt {
`

func ExampleRequestLog_Write() {
	rl, err := reqlog.New(strings.NewReader(lines), "q1")
	if err != nil {
		panic(err)
	}
	_ = rl.Write(os.Stdout)
	// Output:
	// 14:19:30.000 a target fails Group="g" Target="t1"
	// 14:19:31.000 a statement Group="g" ID="q1" Outcome="NotRunDeadline" Took=900
	// 1 lines could not be read
}

func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	rl, err := reqlog.New(strings.NewReader(lines), "q9")
	is.NoErr(err)
	is.True(!rl.Found())
}
