package main

import (
	_ "embed"
	"io"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzereport"
)

// section is the part of MEASUREMENTS.md that the command rewrites.
var section = bronzereport.Section{
	Begin: "<!-- bronzematrix:begin -->",
	End:   "<!-- bronzematrix:end -->",
}

//go:embed section.md.tmpl
var sectionText string

var sectionTemplate = template.Must(template.New("section").Parse(sectionText))

// page is the data of the section's template.
type page struct {
	Matrix, Sizes *Experiment
}

// PromiseTable returns the table of the counts that the promises limit.
func (p *page) PromiseTable() string { return newTable(promiseColumns, p.Matrix.Runs).Markdown() }

// CostTable returns the table of balance and traffic.
func (p *page) CostTable() string { return newTable(costColumns, p.Matrix.Runs).Markdown() }

// SizeTable returns the table by number of balancers.
func (p *page) SizeTable() string { return newTable(sizeColumns, p.Sizes.Runs).Markdown() }

// render returns the text of the section.
func render(data *Data) (text string, err error) {
	var b strings.Builder
	err = sectionTemplate.Execute(&b, &page{Matrix: data.Matrix, Sizes: data.Sizes})
	return b.String(), err
}

func printTables(w io.Writer, data *Data) (err error) {
	p := page{Matrix: data.Matrix, Sizes: data.Sizes}
	var list []string
	if p.Matrix != nil {
		list = append(list, p.PromiseTable(), p.CostTable())
	}
	if p.Sizes != nil {
		list = append(list, p.SizeTable())
	}
	_, err = io.WriteString(w, strings.Join(list, "\n"))
	return err
}

// writeAll writes the data, the plot and the section below the directory Out.
func writeAll(opts *options, data *Data) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "write matrix")
		}
	}()
	if opts.From == "" {
		if err = bronzereport.SaveJSON(dataPath(opts), data); err != nil {
			return err
		}
	}
	if data.Matrix != nil {
		if err = writePlot(filepath.Join(opts.Out, "broken.svg"), data.Matrix.Runs); err != nil {
			return err
		}
	}
	text, err := render(data)
	if err != nil {
		return err
	}
	return section.Rewrite(filepath.Join(opts.Out, "MEASUREMENTS.md"), text)
}
