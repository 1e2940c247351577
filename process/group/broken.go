package group

// The options below break one mechanism each. They exist so that tests can
// show that the checks catch the fault that each makes; nothing else uses them.

// WithoutConfirmation returns an option that replies without a majority.
func WithoutConfirmation() func(*Group) {
	return func(g *Group) { g.broken.confirmation = true }
}

// WithoutFloors returns an option that lets replicas serve data older than the
// session's floor.
func WithoutFloors() func(*Group) {
	return func(g *Group) { g.broken.floors = true }
}

// WithoutKeys returns an option that runs a call again without its key.
func WithoutKeys() func(*Group) {
	return func(g *Group) { g.broken.keys = true }
}

// breakage says which mechanisms are broken.
type breakage struct {
	confirmation bool
	floors       bool
	keys         bool
}
