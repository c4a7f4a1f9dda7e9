package bronzenode

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// A fixed seed makes the property tests draw the same values on every run, so
// that the result depends on the code alone.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
