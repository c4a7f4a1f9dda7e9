package bronzereport

import "strings"

// Table is a table of text cells. Each row must have as many cells as Head.
type Table struct {
	Head []string
	Rows [][]string
}

// cellEscaper escapes characters that would end a cell.
var cellEscaper = strings.NewReplacer("|", `\|`, "\n", " ")

// Markdown formats the table as Markdown.
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
		b.WriteString("| " + cellEscaper.Replace(cell) + " ")
	}
	b.WriteString("|\n")
}
