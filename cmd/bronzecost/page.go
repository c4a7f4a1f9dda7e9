package main

import (
	"os"
	"regexp"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzereport"
)

// markedTable matches a table of the page with the marks around it.
var markedTable = regexp.MustCompile(`(?s)<!-- bronzecost:(\w+) -->\n.*?<!-- /bronzecost -->`)

// rewritePage replaces the marked tables of the page in the file path.
func rewritePage(path string, r *Report) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "rewrite "+path)
		}
	}()
	all, err := tables(r)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text, err := replaceTables(string(page), all)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), 0o644)
}

// replaceTables returns page with its marked tables replaced. A mark without
// a table is an error, and so is a table without a mark: otherwise the page
// would look up to date but have outdated figures or none.
func replaceTables(page string, all map[string]*table) (text string, err error) {
	used := map[string]bool{}
	text = markedTable.ReplaceAllStringFunc(page, func(old string) string {
		name := markedTable.FindStringSubmatch(old)[1]
		t := all[name]
		if t == nil {
			err = errors.Errorf("no table %s", name)
			return old
		}
		used[name] = true
		return "<!-- bronzecost:" + name + " -->\n" + t.markdown() + "<!-- /bronzecost -->"
	})
	for name := range all {
		if err == nil && !used[name] {
			err = errors.Errorf("table %s has no mark on the page", name)
		}
	}
	return text, err
}

// markdown formats the table as Markdown.
func (t *table) markdown() string {
	return (&bronzereport.Table{Head: t.head, Rows: t.rows}).Markdown()
}
