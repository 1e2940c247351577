// Package sample holds the users' service files, for the demo and for tests.
package sample

import "embed"

// Files holds fittings.toml and orders.toml.
//
//go:embed *.toml
var Files embed.FS
