package bronzeconf

import "reflect"

// DecodeStrict decodes body, a single JSON value, into the struct that v points
// to, as strictly as a record: names of fields are exact in case, and a field
// that the struct doesn't have, a field given twice, null or a value of another
// type is a fault. It returns every fault with the path of its field, which
// begins with path. Fields that body leaves out keep their values.
func DecodeStrict(path string, body []byte, v any) (refusals []Refusal) {
	f := &faults{}
	tree, err := parseTree(body)
	if err != nil {
		f.add(path, "%v", err)
		return f.list
	}
	f.fill(path, tree, reflect.ValueOf(v).Elem())
	return f.list
}
