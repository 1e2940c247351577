// Command pistachiotray is a database proxy for PostgreSQL's protocol with
// session consistency.
package main

import "os"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
