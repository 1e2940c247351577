package follow

import (
	"time"

	"go.uber.org/zap"
)

// noteUpstream logs that this host follows another host than before, or none.
func (f *Follower) noteUpstream(host string, hops int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host != f.asked {
		f.log.Info("upstream chosen", zap.String("Peer", host), zap.Int("Hops", hops), zap.String("Before", f.asked), zap.String("Why", f.reason))
		f.asked = host
	}
	f.reason = ""
}

// noteLate logs each table whose copy has become older than it gets in operation, or is no
// longer.
func (f *Follower) noteLate() {
	for table := range f.ages {
		// The lock of the Mirror comes before that of the Follower.
		if fresh := f.mirror.FreshAt(table); fresh != 0 {
			f.noteAge(table, f.now()-fresh)
		}
	}
}

// noteAge logs that the copy of a table has become older than it gets in operation, or is no
// longer.
func (f *Follower) noteAge(table string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, late := f.late[table]
	switch {
	case late == (age > f.MaxAge(table)):
	case late:
		delete(f.late, table)
		f.log.Info("copy of a table is current again", zap.String("Table", table), zap.Duration("Late", f.now()-since))
	default:
		f.late[table] = f.now()
		f.log.Info("copy of a table is late", zap.String("Table", table), zap.Duration("Age", age), zap.String("Upstream", f.asked), zap.Duration("Silent", f.silentFor()))
	}
}

// LogFields returns whom this host follows, empty if it reads the store itself, and for how
// long no other host has answered it, -1 if none ever did.
func (f *Follower) LogFields() []zap.Field {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []zap.Field{zap.String("Upstream", f.asked), zap.Duration("Silent", f.silentFor())}
}

// silentFor returns for how long no other host has answered, -1 if none ever did; the caller
// holds the lock.
func (f *Follower) silentFor() time.Duration {
	if f.answeredAt == 0 {
		return -1
	}
	return f.now() - f.answeredAt
}
