package bronzeconf

import (
	"fmt"
	"strings"
)

// faults collects the faults of one record.
type faults struct {
	record string
	list   []Refusal
	fields map[string]bool
	// tooNew is set if the schema version is newer than this build knows.
	tooNew bool
}

// add adds a fault of field. Only the first fault of a field is kept, and none
// of the fields inside a faulty one: what couldn't be read would be reported
// again as missing.
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

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
