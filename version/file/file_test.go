package file_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/version/file"
)

func ExampleNew() {
	f, err := file.New("roster.toml", []byte(`
Service = "roster"
Databases = ["fittings"]
[[Class]]
Name = "Lookup"
Read = true
MaxAge = "2s"
`))
	fmt.Println(f.Service, f.Rules[0].Class.MaxAge, err)
	// Output: roster 2s <nil>
}

func TestErrorListsEveryProblemWithItsLine(t *testing.T) {
	is := is.New(t)
	_, err := file.New("bad.toml", []byte(`Service = ""
Weigth = 3
Databases = []
[[Class]]
Name = "A"
Once = true
Repeatable = true
MaxAge = "soon"
[[Class]]
Name = "A"
Deadline = "0s"
`))
	is.True(err != nil)
	for _, want := range []string{
		"bad.toml:1: Service", "bad.toml:2: Weigth: unknown", "bad.toml:3: Databases",
		"bad.toml:6: Once", "bad.toml:8: MaxAge", "bad.toml:10: Name", "bad.toml:11: Deadline",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in:\n%v", want, err)
		}
	}
}

func TestSyntaxErrorHasItsLine(t *testing.T) {
	is := is.New(t)
	_, err := file.New("bad.toml", []byte("Service = \"a\"\nDatabases = [\n"))
	is.True(err != nil)
	is.True(strings.HasPrefix(err.Error(), "bad.toml:"))
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"fittings", "orders"} {
		is := is.New(t)
		text, err := os.ReadFile("../../docs/examples/" + name + ".toml")
		is.NoErr(err)
		f, err := file.New(name, text)
		is.NoErr(err)
		is.Equal(f.Service, name)
		is.True(f.Rules[0].Class.Deadline >= time.Second)
	}
}

// A file that is accepted must name a service and define at least one class.
func FuzzNew(f *testing.F) {
	f.Add([]byte("Service = \"a\"\nDatabases = [\"d\"]\n[[Class]]\nName = \"C\"\nRead = true\n"))
	f.Add([]byte("Class = 3\n[Class.x]\n"))
	f.Add([]byte("[[Class]]\n[[Class]]\nName = [1]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := file.New("f", text)
		if err == nil && (got.Service == "" || len(got.Rules) == 0) {
			t.Fatalf("accepted a file without a service or a class: %q", text)
		}
	})
}
