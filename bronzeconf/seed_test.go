package bronzeconf

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// A fixed seed makes the property tests draw the same values in every run, so
// that a changed result means changed code.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
