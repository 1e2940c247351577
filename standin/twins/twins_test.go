package twins_test

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/standin/twins"
)

func TestXXHash64(t *testing.T) {
	is := is.New(t)
	a, b := twins.XXHash64()
	is.True(a != b)
	is.Equal(len(a), len(b))
	is.Equal(xxhash.Sum64String(a), xxhash.Sum64String(b))
}
