package budget

const (
	// keptShare is the share of the budget, as a divisor, that slabs may occupy while nobody uses
	// them. It is far below garbageShare, so that no draw waits because of them.
	keptShare = 8
	// maxKeptBytes bounds the same where the budget is large.
	maxKeptBytes = 16 << 20
	// minSlabBytes is the smallest size that is kept. Only powers of two are, so that there are
	// few sizes and a slab of each finds its next user soon.
	minSlabBytes = 4 << 10
)

// slabs keeps memory that was returned for the next that need it, by size. Its fields are guarded
// by the lock of the Budget.
type slabs struct {
	free map[int][][]byte
	// bytes is the size of all free slabs.
	bytes int64
	// used means that a slab was used again since the last collection.
	used bool
}

// take removes a free slab of n bytes and returns it, nil if there is none.
func (s *slabs) take(n int) []byte {
	free := s.free[n]
	if len(free) == 0 {
		return nil
	}
	last := len(free) - 1
	slab := free[last]
	free[last] = nil
	s.free[n] = free[:last]
	s.bytes -= int64(n)
	s.used = true
	return slab
}

// DrawSlab draws n bytes as Draw does, and returns the memory, whose content is undefined.
func (b *Budget) DrawSlab(id uint64, n int) ([]byte, error) {
	if slab := b.reuse(id, n); slab != nil {
		return slab, nil
	}
	if err := b.Draw(id, n); err != nil {
		return nil, err
	}
	// A taker that made room for this draw may have returned a slab meanwhile.
	if slab := b.takeSlab(n); slab != nil {
		return slab, nil
	}
	return make([]byte, n), nil
}

// reuse draws n bytes and returns a free slab of this size. It returns nil if there is none, or if
// the bytes can't be drawn without waiting. Garbage does not matter, since the slab occupies its
// memory already.
func (b *Budget) reuse(id uint64, n int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.takers[id]
	if t == nil || t.closed || !b.fitsLive(t, int64(n)) {
		return nil
	}
	slab := b.slabs.take(n)
	b.add(t, int64(len(slab)))
	return slab
}

// takeSlab returns a free slab of n bytes that were drawn, nil if there is none.
func (b *Budget) takeSlab(n int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slabs.take(n)
}

// ReturnSlab gives back memory of DrawSlab, which the taker must not use any more. After the taker
// left, the memory counts as garbage already.
func (b *Budget) ReturnSlab(id uint64, slab []byte) {
	slab = slab[:cap(slab)]
	n := int64(len(slab))
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.takers[id]
	if t == nil {
		return
	}
	if n < minSlabBytes || n&(n-1) != 0 || b.slabs.bytes+n > min(b.limit/keptShare, maxKeptBytes) {
		b.discard(t, n)
	} else {
		b.add(t, -n)
		b.slabs.free[len(slab)] = append(b.slabs.free[len(slab)], slab)
		b.slabs.bytes += n
		b.watch()
	}
	b.serveWaiting()
}

// dropSlabs makes the free slabs garbage. The caller holds the lock.
func (b *Budget) dropSlabs() {
	b.garbage.returned += b.slabs.bytes
	b.slabs.bytes = 0
	clear(b.slabs.free)
	b.watch()
}
