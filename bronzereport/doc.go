// Package bronzereport holds what the measuring commands share: where and of
// which revision a figure was measured, data files, Markdown tables, the
// sections of a page that a command writes, and the ticks of plots.
//
// A figure on a page is never typed in. A command writes it to a data file
// together with its Source, and writes the page's Section from that file, so
// that the page can be made again without measuring.
//
// # Usage
//
//	source, err := bronzereport.NewSource(ctx)
//	if err != nil {
//		return err
//	}
//	err = bronzereport.SaveJSON("docs/data/example.json", data{Source: source, Runs: runs})
//	if err != nil {
//		return err
//	}
//	table := bronzereport.Table{Head: []string{"run", "broken"}, Rows: rows(runs)}
//	section := bronzereport.Section{Begin: "<!-- example:begin -->", End: "<!-- example:end -->"}
//	return section.Rewrite("docs/MEASUREMENTS.md", table.Markdown())
package bronzereport
