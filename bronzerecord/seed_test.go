package bronzerecord

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Property tests draw the same values on every run, so that a failure comes from a change
// of the code and not from the draw.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
