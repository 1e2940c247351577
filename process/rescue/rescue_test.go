package rescue_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/rescue"
)

func TestPanicEndsOnlyTheWork(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	is.True(!rescue.Run(zap.NewNop(), func() {
		mu.Lock()
		defer mu.Unlock()
		var rows []string
		_ = rows[3]
	}))
	is.True(mu.TryLock()) // deferred functions have run
	is.True(rescue.Run(zap.NewNop(), func() {}))
}
