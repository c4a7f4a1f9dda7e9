package bronzeconf

import (
	"fmt"
	"strings"
)

// faults collects what is wrong with one record.
type faults struct {
	record string
	list   []Refusal
	fields map[string]bool
	// tooNew is set if the schema version is newer than this build.
	tooNew bool
}

// add notes a fault of field. Only the first fault of a field counts, and
// none of the parts of a field that is faulty itself: what couldn't be read
// would be reported again as missing.
func (f *faults) add(field, format string, args ...any) {
	if f.covered(field) {
		return
	}
	if f.fields == nil {
		f.fields = make(map[string]bool)
	}
	f.fields[field] = true
	f.list = append(f.list, Refusal{
		Record: f.record,
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (f *faults) covered(field string) bool {
	for field != "" {
		if f.fields[field] {
			return true
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return false
}

func member(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func element(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
