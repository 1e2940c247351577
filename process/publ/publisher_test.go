package publ_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/process/publ"
	"github.com/pistachiotray/pistachiotray/standin/plat"
	"github.com/pistachiotray/pistachiotray/version/bundle"
)

func serviceFile(service, weight string) string {
	return "Service = \"" + service + "\"\nDatabases = [\"d\"]\nWeight = " + weight + "\n[[Class]]\nName = \"C\"\n"
}

func setUp(t *testing.T) (*plat.Platform, *publ.Publisher) {
	t.Helper()
	p := plat.New()
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return p, publ.New(cloud.New(s.URL, s.Client()), "test", publ.WithPause(func(time.Duration) {}))
}

// Concurrent publications for different services must all take effect.
func TestTwoPublishersOfDifferentServices(t *testing.T) {
	is := is.New(t)
	_, p := setUp(t)
	ctx := t.Context()
	var publishers sync.WaitGroup
	for _, service := range []string{"a", "b", "c", "d"} {
		publishers.Go(func() {
			_, err := p.Publish(ctx, bundle.New(), "p-"+service, map[string]string{service: serviceFile(service, "1")})
			is.NoErr(err)
		})
	}
	publishers.Wait()
	head, err := p.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Version, uint64(4))
	is.Equal(len(head.Files), 4)
}

// A publication must not overwrite a change of the same service that was
// published after its base version.
func TestTwoPublishersOfOneService(t *testing.T) {
	is := is.New(t)
	_, p := setUp(t)
	ctx := t.Context()
	_, err := p.Publish(ctx, bundle.New(), "first", map[string]string{"a": serviceFile("a", "1")})
	is.NoErr(err)
	_, err = p.Publish(ctx, bundle.New(), "second", map[string]string{"a": serviceFile("a", "2")})
	is.True(errors.Is(err, publ.ErrChanged))
	head, err := p.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Files["a"], serviceFile("a", "1"))
}

// A publication must create only one version even if it is repeated because an
// answer of the store was lost, at whichever step.
func TestLostAnswersPublishOnce(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		is := is.New(t)
		platform, p := setUp(t)
		ctx := t.Context()
		platform.LoseAnswers(lost)
		err := errors.New("not tried")
		for tries := 0; err != nil && tries < 10; tries++ {
			_, err = p.Publish(ctx, bundle.New(), "act", map[string]string{"a": serviceFile("a", "1")})
		}
		is.NoErr(err)
		history, err := p.History(ctx, 10)
		is.NoErr(err)
		published := 0
		for _, b := range history {
			if b.Publication == "act" {
				published++
			}
		}
		is.Equal(published, 1)
	}
}

func TestNothingIsPublishedWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	platform, p := setUp(t)
	platform.SetDown(true)
	_, err := p.Publish(context.Background(), bundle.New(), "act", map[string]string{"a": serviceFile("a", "1")})
	is.True(err != nil)
	platform.SetDown(false)
	head, err := p.Head(t.Context())
	is.NoErr(err)
	is.Equal(head.Version, uint64(0))
}

func TestRollbackIsANewVersion(t *testing.T) {
	is := is.New(t)
	_, p := setUp(t)
	ctx := t.Context()
	first, err := p.Publish(ctx, bundle.New(), "one", map[string]string{"a": serviceFile("a", "1")})
	is.NoErr(err)
	_, err = p.Publish(ctx, first, "two", map[string]string{"a": serviceFile("a", "2"), "b": serviceFile("b", "1")})
	is.NoErr(err)
	back, err := p.Rollback(ctx, 1, "three")
	is.NoErr(err)
	is.Equal(back.Version, uint64(3))
	is.Equal(back.Files, first.Files)
}
