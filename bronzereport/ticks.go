package bronzereport

import (
	"fmt"

	"gonum.org/v1/plot"
)

// Ticks returns the default ticks of a plot with labels in the given format of
// package fmt, so that all labels of an axis can have the same number of
// decimals.
func Ticks(format string) plot.Ticker {
	return plot.TickerFunc(func(low, high float64) []plot.Tick {
		marks := plot.DefaultTicks{}.Ticks(low, high)
		for i := range marks {
			if !marks[i].IsMinor() {
				marks[i].Label = fmt.Sprintf(format, marks[i].Value)
			}
		}
		return marks
	})
}
