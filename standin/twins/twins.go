// Package twins makes different texts with the same hash.
package twins

import (
	"encoding/binary"
	"math/bits"
	"strings"
)

// The primes of XXH64.
const (
	prime1 = 0x9E3779B185EBCA87
	prime2 = 0xC2B2AE3D27D4EB4F
)

// XXHash64 returns two texts of 64 bytes, without zero bytes and line breaks, that have the same
// XXH64 hash.
func XXHash64() (a, b string) {
	const lane, block = 8, 32
	first := []byte(strings.Repeat("size of crew member by base, ...", 2))
	inverse := uint64(1)
	for range 6 {
		inverse *= 2 - prime2*inverse
	}
	// The first lane of each block changes one accumulator, so that the second block can undo
	// what the first one changed. The seed is 0.
	seed := uint64(0)
	seed += prime1
	seed += prime2
	step := func(sum, in uint64) uint64 { return bits.RotateLeft64(sum+in*prime2, 31) * prime1 }
	wanted := step(seed, binary.LittleEndian.Uint64(first)) + binary.LittleEndian.Uint64(first[block:])*prime2
	for n := uint64(1); ; n++ {
		second := append([]byte(nil), first...)
		copy(second, "ship0000"[:lane])
		binary.LittleEndian.PutUint16(second[4:], uint16(0x3030+n%10+n/10<<8))
		changed := step(seed, binary.LittleEndian.Uint64(second))
		binary.LittleEndian.PutUint64(second[block:], (wanted-changed)*inverse)
		if !strings.ContainsAny(string(second), "\x00\r\n") {
			return string(first), string(second)
		}
	}
}
