package bronzelink_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// The property tests draw the same values in every run, so that their results
// depend on the code only.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
