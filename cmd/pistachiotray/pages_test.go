package main_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	platformconf "github.com/pistachiotray/pistachiotray/platform/conf"
	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/request/code"
)

// The pages in docs must be those that the command pages generates from the
// present code.
func TestPagesAreUpToDate(t *testing.T) {
	for name, want := range map[string]string{"SETTINGS.md": conf.Markdown() + platformconf.Markdown(), "RESULTS.md": code.Markdown()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := os.ReadFile("../../docs/" + name)
			is.NoErr(err)
			if string(got) != want {
				t.Fatal("run: go run ./cmd/pistachiotray pages docs")
			}
		})
	}
}
