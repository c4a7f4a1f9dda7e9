package main

import (
	"path/filepath"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzereport"
)

// Frontier is the content of the file frontier.json.
type Frontier struct {
	Seed   uint64
	Seeds  int
	Owners int
	// ShareSeconds is the minimum time between two shares of an owner's counts, and
	// CopiesPerSecond is how many exceptions an owner copies per second.
	ShareSeconds    float64
	CopiesPerSecond int
	Points          []Point
}

// writeAll writes the data file and the plot to the directory Out.
func writeAll(opts *options, points []Point) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "write frontier")
		}
	}()
	f := Frontier{
		Seed:            opts.Seed,
		Seeds:           max(opts.Seeds, 1),
		Owners:          Owners,
		ShareSeconds:    shareInterval.Seconds(),
		CopiesPerSecond: copiesPerSecond,
		Points:          points,
	}
	if err = bronzereport.SaveJSON(filepath.Join(opts.Out, "data", "frontier.json"), &f); err != nil {
		return err
	}
	return writePlot(filepath.Join(opts.Out, "frontier.svg"), points)
}
