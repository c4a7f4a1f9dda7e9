package bronzeconf

import (
	"context"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// IndexName is the name of the value that lists the published records.
const IndexName = "Index"

// ErrNotFound says that the platform has no value of a name.
var ErrNotFound = errors.New("no such value")

// Platform is the configuration service and VM list that the system reads.
// Nothing can be written to it. The functions may be called concurrently.
type Platform struct {
	// Read returns the value under name, ErrNotFound if there is none.
	Read func(ctx context.Context, name string) (Value, error)
	// Watch returns the value under name as soon as its revision is above
	// after, and otherwise, after a wait of its own choice, a Value that has
	// only the Revision.
	Watch func(ctx context.Context, name string, after uint64) (Value, error)
	// VMs returns the list of live and leaving VMs, which lags.
	VMs func(ctx context.Context) ([]VM, error)
}

// Value is a published value. A Body over MaxRecordBytes may be cut off at
// any length above that.
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

// ParseIndex reads the value of IndexName as strictly as a record. Its error
// is the first Refusal.
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
		path := element("Records", i)
		f.checkRecordName(member(path, "Name"), v.Name)
		if v.Revision == 0 {
			f.add(member(path, "Revision"), "is missing or 0")
		}
		if seen[v.Name] {
			f.add(path, "%q is given twice", v.Name)
		}
		seen[v.Name] = true
	}
}

// checkRecordName keeps names out that can't be told from other paths of the
// platform.
func (f *faults) checkRecordName(path, name string) {
	f.checkName(path, name)
	if strings.Contains(name, "/") || name == "." || name == ".." || name == IndexName {
		f.add(path, "%q can't name a record", name)
	}
}
