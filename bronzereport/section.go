package bronzereport

import (
	"os"
	"strings"

	"github.com/pkg/errors"
)

// ErrNoMarks means that a page doesn't contain the two marks of a section exactly
// once and in order.
var ErrNoMarks = errors.New("the page doesn't contain the marks of the section exactly once and in order")

// Section is the part of a page between two marks, each of which must occur
// exactly once. The marks are kept when the section is replaced.
type Section struct {
	Begin, End string
}

// Replace returns page with the content of the section replaced by text. If the
// marks are missing, repeated or out of order, the error wraps ErrNoMarks:
// otherwise the page would look up to date but have outdated figures or none.
func (s Section) Replace(page, text string) (replaced string, err error) {
	before, rest, begins := strings.Cut(page, s.Begin)
	_, after, ends := strings.Cut(rest, s.End)
	once := strings.Count(page, s.Begin) == 1 && strings.Count(page, s.End) == 1
	if !begins || !ends || !once {
		return "", errors.Wrap(ErrNoMarks, s.Begin)
	}
	text = strings.Trim(text, "\n")
	return before + s.Begin + "\n" + text + "\n" + s.End + after, nil
}

// Rewrite replaces the section in the file path by text, as Replace does.
func (s Section) Rewrite(path, text string) (err error) {
	defer annotate(&err, "rewrite "+path)
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	replaced, err := s.Replace(string(page), text)
	if err != nil {
		return err
	}
	return writeFile(path, []byte(replaced))
}
