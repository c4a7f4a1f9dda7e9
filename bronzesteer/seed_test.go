package bronzesteer

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Property tests draw the same values in every run, so that results depend on the code
// only.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
