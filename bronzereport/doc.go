// Package bronzereport provides what the measuring commands share: the machine
// and revision of a measurement, data files, Markdown tables, sections of a page
// that a command writes, and the ticks of plots.
//
// Figures on a page are never edited by hand. A command writes them to a data
// file together with their Source, and writes the Section of the page from that
// file, so that the page can be generated again without measuring.
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
