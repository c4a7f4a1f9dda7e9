package main

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Property tests draw the same values on every run, so that their results depend
// only on the code.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
