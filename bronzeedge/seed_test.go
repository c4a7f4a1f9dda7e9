package bronzeedge

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// The properties draw the same values on every run, so that a run's verdict
// says something about the code and not about the draw.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
