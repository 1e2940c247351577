package budget

import "runtime"

// garbage counts the memory that was returned and is not collected yet. Its fields are guarded by
// the lock of the Budget.
type garbage struct {
	// returned is all that was ever returned, and collected the part of it that is no longer
	// occupied.
	returned, collected int64
	// watched means that a sentinel tells the end of the next collection.
	watched bool
	// collecting means that a collection runs that a draw asked for.
	collecting bool
	// collections counts those.
	collections int64
	// collect collects garbage, and returns when it is done.
	collect func()
}

// bytes returns how much is not collected yet.
func (g *garbage) bytes() int64 {
	return g.returned - g.collected
}

// WithCollect returns an option that sets the function that collects garbage, instead of
// runtime.GC.
func WithCollect(f func()) func(*Budget) {
	return func(b *Budget) { b.garbage.collect = f }
}

// discard counts bytes of a taker as garbage. The caller holds the lock.
func (b *Budget) discard(t *taker, n int64) {
	b.add(t, -n)
	b.garbage.returned += n
	b.watch()
}

// sentinel is an object whose cleanup tells the end of a collection. The pointer keeps it out of
// blocks of small objects without pointers, which are collected together.
type sentinel struct{ _ *sentinel }

// watch notes the end of the next collection that the runtime starts, which collects all that
// was returned until now. The caller holds the lock.
func (b *Budget) watch() {
	if b.garbage.watched || b.garbage.bytes() == 0 && b.slabs.bytes == 0 {
		return
	}
	b.garbage.watched = true
	runtime.AddCleanup(&sentinel{}, b.noteCollection, b.garbage.returned)
}

// noteCollection notes that a collection ended before which a total of returned bytes had been
// returned. Slabs that were not used since the last one are dropped.
func (b *Budget) noteCollection(returned int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.garbage.collected = max(b.garbage.collected, returned)
	b.garbage.watched = false
	if !b.slabs.used {
		b.dropSlabs()
	}
	b.slabs.used = false
	b.watch()
	b.serveWaiting()
}

// startCollection starts a collection unless one runs or there is nothing to collect. Waiting
// draws are served after it. The caller holds the lock.
func (b *Budget) startCollection() {
	if b.garbage.collecting || b.garbage.bytes() == 0 {
		return
	}
	b.garbage.collecting = true
	b.garbage.collections++
	go b.runCollection(b.garbage.returned)
}

// runCollection collects the garbage, which is at least what was returned before.
func (b *Budget) runCollection(returned int64) {
	b.garbage.collect()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.garbage.collected = max(b.garbage.collected, returned)
	b.garbage.collecting = false
	b.serveWaiting()
}
