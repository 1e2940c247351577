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

// replacement holds the log lines of a commit, of the replacement of its leader by host b,
// and of an earlier replacement.
const replacement = `{"Time":"2026-05-25T14:19:20Z","Host":"a","Message":"group view","Group":"g","View":1,"Leader":"t0","Members":[]}
{"Time":"2026-05-25T14:19:25Z","Host":"b","Message":"promotion ordered","Group":"g","Target":"t1","Token":3,"Answer":"accepted"}
{"Time":"2026-05-25T14:19:30Z","Host":"a","Message":"group view","Group":"g","View":2,"Leader":"t1","Members":[{"ID":"t1","Registered":true},{"ID":"t2","Registered":true,"FailingMs":400}]}
{"Time":"2026-05-25T14:19:30Z","Host":"a","Message":"commit acknowledged","Group":"g","ID":"q1","Target":"t1","Mark":"3/120","View":2}
{"Time":"2026-05-25T14:19:30.1Z","Host":"a","Message":"commit acknowledged","Group":"g","ID":"q2","Target":"t1","Mark":"3/121","View":2}
{"Time":"2026-05-25T14:19:31Z","Host":"b","Message":"target not paused","Group":"g","Target":"t3","Error":"i/o timeout"}
{"Time":"2026-05-25T14:19:32Z","Host":"b","Message":"members counted","Group":"g","Token":4,"Safe":true,"Chosen":"t2","Members":[{"ID":"t2","Counted":"stopped","Received":"3/119"},{"ID":"t3","Counted":"left out, gone","Why":"not registered","AgoMs":12}]}
{"Time":"2026-05-25T14:19:32.2Z","Host":"b","Message":"promotion ordered","Group":"g","Target":"t2","Token":4,"Answer":"accepted"}
{"Time":"2026-05-25T14:19:32.2Z","Host":"b","Message":"promotion ordered","Group":"other","Target":"t9","Token":4,"Answer":"refused"}
`

func ExampleRequestLog_Write_commit() {
	rl, err := reqlog.New(strings.NewReader(replacement), "q1")
	if err != nil {
		panic(err)
	}
	_ = rl.Write(os.Stdout)
	// Output:
	// 14:19:30.000 a group view Group="g" Leader="t1" View=2
	//     ID="t1" Registered=true
	//     ID="t2" FailingMs=400 Registered=true
	// 14:19:30.000 a commit acknowledged Group="g" ID="q1" Mark="3/120" Target="t1" View=2
	// 14:19:31.000 b target not paused Error="i/o timeout" Group="g" Target="t3"
	// 14:19:32.000 b members counted Chosen="t2" Group="g" Safe=true Token=4
	//     ID="t2" Counted="stopped" Received="3/119"
	//     ID="t3" AgoMs=12 Counted="left out, gone" Why="not registered"
	// 14:19:32.200 b promotion ordered Answer="accepted" Group="g" Target="t2" Token=4
}

func ExampleRequestLog_Write_target() {
	rl, err := reqlog.New(strings.NewReader(replacement), "t1")
	if err != nil {
		panic(err)
	}
	_ = rl.Write(os.Stdout)
	// Output:
	// 14:19:25.000 b promotion ordered Answer="accepted" Group="g" Target="t1" Token=3
}

// Views are numbered anew when a host restarts.
func TestViewIsTheLastOneBeforeTheCommit(t *testing.T) {
	is := is.New(t)
	const restarted = `{"Time":"2026-05-25T14:19:10Z","Host":"a","Message":"group view","Group":"g","View":2,"Leader":"old"}
{"Time":"2026-05-25T14:19:40Z","Host":"a","Message":"group view","Group":"g","View":2,"Leader":"late"}
{"Time":"2026-05-25T14:19:29Z","Host":"b","Message":"group view","Group":"g","View":2,"Leader":"elsewhere"}
`
	rl, err := reqlog.New(strings.NewReader(restarted+replacement), "q1")
	is.NoErr(err)
	var text strings.Builder
	is.NoErr(rl.Write(&text))
	is.True(strings.Contains(text.String(), `Leader="t1" View=2`))
	is.Equal(strings.Count(text.String(), "group view"), 1)
}

func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	rl, err := reqlog.New(strings.NewReader(lines), "q9")
	is.NoErr(err)
	is.True(!rl.Found())
}

const refusal = `{"Time":"2026-05-25T14:19:00Z","Host":"a","Message":"plan adopted","From":1,"To":4}
{"Time":"2026-05-25T14:19:01Z","Host":"a","Message":"upstream chosen","Peer":"b","Hops":2,"Before":"","Why":"hosts changed"}
{"Time":"2026-05-25T14:19:02Z","Host":"c","Message":"plan adopted","From":4,"To":5}
{"Time":"2026-05-25T14:19:08Z","Host":"a","Message":"copy of a table is late","Table":"op","Age":3600,"Upstream":"b","Silent":3400}
{"Time":"2026-05-25T14:19:11Z","Host":"a","Message":"caller refused","Caller":"a-7","Outcome":"UnknownDatabase","Reason":"orders","Plan":4,"Position":31,"Age":6600,"Upstream":"b","Silent":6400}
{"Time":"2026-05-25T14:19:12Z","Host":"a","Message":"plan adopted","From":4,"To":5}
`

func ExampleRequestLog_Write_refusal() {
	rl, err := reqlog.New(strings.NewReader(refusal), "orders")
	if err != nil {
		panic(err)
	}
	_ = rl.Write(os.Stdout)
	// Output:
	// 14:19:00.000 a plan adopted From=1 To=4
	// 14:19:01.000 a upstream chosen Before="" Hops=2 Peer="b" Why="hosts changed"
	// 14:19:08.000 a copy of a table is late Age=3600 Silent=3400 Table="op" Upstream="b"
	// 14:19:11.000 a caller refused Age=6600 Caller="a-7" Outcome="UnknownDatabase" Plan=4 Position=31 Reason="orders" Silent=6400 Upstream="b"
}

// keys holds the log lines of a session whose key was taken away.
const keys = `{"Time":"2026-05-25T14:19:10Z","Host":"a","Message":"plan adopted","From":6,"To":7}
{"Time":"2026-05-25T14:19:20Z","Host":"a","Message":"invalid customer left out","Plan":8,"Index":3,"Customer":"bakery"}
{"Time":"2026-05-25T14:19:20Z","Host":"a","Message":"plan adopted","From":7,"To":8}
{"Time":"2026-05-25T14:19:29Z","Host":"a","Message":"limit reached","Customer":"cafe"}
{"Time":"2026-05-25T14:19:30Z","Host":"a","Message":"statement","ID":"q1","Caller":"a-1","Customer":"bakery","Outcome":"UnknownKey","Plan":8,"Age":12}
{"Time":"2026-05-25T14:19:31Z","Host":"a","Message":"plan adopted","From":8,"To":9}
`

func ExampleRequestLog_Write_customer() {
	rl, err := reqlog.New(strings.NewReader(keys), "q1")
	if err != nil {
		panic(err)
	}
	_ = rl.Write(os.Stdout)
	// Output:
	// 14:19:20.000 a invalid customer left out Customer="bakery" Index=3 Plan=8
	// 14:19:20.000 a plan adopted From=7 To=8
	// 14:19:30.000 a statement Age=12 Caller="a-1" Customer="bakery" ID="q1" Outcome="UnknownKey" Plan=8
}
