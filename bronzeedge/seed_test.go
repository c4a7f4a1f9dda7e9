package bronzeedge

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Use a fixed seed so that property tests draw the same values on every run and their
// results depend only on the code.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
