package bronzeroute

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Property tests use a fixed seed, so that a change of their result comes from the code and not
// from the drawn values.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
