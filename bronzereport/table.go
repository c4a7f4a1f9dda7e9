package bronzereport

import "strings"

// Table is a table of text cells. Each row has as many cells as Head.
type Table struct {
	Head []string
	Rows [][]string
}

// escape keeps a cell inside its column.
var escape = strings.NewReplacer("|", `\|`, "\n", " ")

// Markdown returns the table in Markdown.
func (t *Table) Markdown() string {
	var b strings.Builder
	writeRow(&b, t.Head)
	rule := make([]string, len(t.Head))
	for i := range rule {
		rule[i] = "---"
	}
	writeRow(&b, rule)
	for _, cells := range t.Rows {
		writeRow(&b, cells)
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells []string) {
	for _, cell := range cells {
		b.WriteString("| " + escape.Replace(cell) + " ")
	}
	b.WriteString("|\n")
}
