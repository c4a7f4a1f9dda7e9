package bronzereport

import (
	"os"
	"strings"

	"github.com/pkg/errors"
)

// ErrNoMarks tells that a page doesn't have a section's two marks, once each
// and in their order.
var ErrNoMarks = errors.New("the marks of the section are not on the page, once each and in order")

// Section is the part of a page between two marks, each of which stands on
// the page once. The marks themselves stay.
type Section struct {
	Begin, End string
}

// Replace returns page with text in place of what the section holds. Without
// the marks it returns ErrNoMarks, since the page would look up to date and
// have old figures or none.
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

// Rewrite replaces the section in the file path.
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
	return save(path, []byte(replaced))
}
