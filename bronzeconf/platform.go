package bronzeconf

import (
	"context"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// IndexName is the name of the value that lists the published records.
const IndexName = "Index"

// ErrNotFound means that the platform has no value under a name.
var ErrNotFound = errors.New("no such value")

// Platform reads the configuration service and the list of VMs. It can't write
// to them. The functions are safe for concurrent use.
type Platform struct {
	// Read returns the value under name, or ErrNotFound if there is none.
	Read func(ctx context.Context, name string) (Value, error)
	// Watch returns the value under name as soon as its revision is above
	// after. If it isn't within a time that the implementation chooses, Watch
	// returns a Value with only the Revision.
	Watch func(ctx context.Context, name string, after uint64) (Value, error)
	// VMs returns the list of live and leaving VMs, which may be out of date.
	VMs func(ctx context.Context) ([]VM, error)
}

// Value is a published value. A Body longer than MaxRecordBytes may be truncated
// to any length above that.
type Value struct {
	Revision uint64
	Body     []byte
}

// Index is the value that lists the records in force, as JSON. An operator
// publishes the records first and the index last.
type Index struct {
	Revision uint64
	Records  []RecordVersion
}

// ParseIndex decodes the value of IndexName as strictly as a record. If the
// index has faults, the error wraps the first Refusal.
func ParseIndex(v Value) (index Index, err error) {
	defer func() { err = errors.Wrap(err, "index") }()
	if len(v.Body) > MaxRecordBytes {
		return Index{}, errors.Errorf("is longer than %d bytes", MaxRecordBytes)
	}
	tree, err := parseTree(v.Body)
	if err != nil {
		return Index{}, err
	}
	f := &faults{record: IndexName}
	f.fill("", tree, reflect.ValueOf(&index).Elem())
	f.checkIndex(&index)
	if len(f.list) > 0 {
		return Index{}, f.list[0]
	}
	return index, nil
}

func (f *faults) checkIndex(index *Index) {
	if index.Revision == 0 {
		f.add("Revision", "is missing or 0")
	}
	seen := make(map[string]bool, len(index.Records))
	for i, v := range index.Records {
		path := elementPath("Records", i)
		f.checkRecordName(fieldPath(path, "Name"), v.Name)
		if v.Revision == 0 {
			f.add(fieldPath(path, "Revision"), "is missing or 0")
		}
		if seen[v.Name] {
			f.add(path, "%q is given twice", v.Name)
		}
		seen[v.Name] = true
	}
}

// checkRecordName refuses names that could be confused with other paths of the
// platform.
func (f *faults) checkRecordName(path, name string) {
	f.checkName(path, name)
	if strings.Contains(name, "/") || name == "." || name == ".." || name == IndexName {
		f.add(path, "%q can't name a record", name)
	}
}
