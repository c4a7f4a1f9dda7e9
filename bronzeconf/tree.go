package bronzeconf

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
	"strconv"

	"github.com/pkg/errors"
)

// maxDepth limits the nesting of a record. The schemas need three levels; the
// limit keeps a malicious record from exhausting the stack.
const maxDepth = 32

// object is a JSON object with all its members in order, including duplicates.
type object []objectMember

type objectMember struct {
	name  string
	value any
}

// list is a JSON array.
type list []any

// parseTree parses body, which must be a single JSON value, into an object, a
// list, a string, a json.Number, a bool or nil. Decoding with encoding/json into
// a struct couldn't list all faults: it stops at the first unknown field,
// ignores the case of names, and takes the last of duplicate members.
func parseTree(body []byte) (v any, err error) {
	var raw json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, syntaxError(err)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	return parseValue(dec, 0)
}

func syntaxError(err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return errors.Errorf("is not JSON: %v at byte %d", syntax, syntax.Offset)
	}
	return errors.Errorf("is not JSON: %v", err)
}

func parseValue(dec *json.Decoder, depth int) (v any, err error) {
	if depth > maxDepth {
		return nil, errors.Errorf("is nested deeper than %d levels", maxDepth)
	}
	t, err := dec.Token()
	if err != nil {
		return nil, syntaxError(err)
	}
	switch t {
	case json.Delim('{'):
		return parseObject(dec, depth)
	case json.Delim('['):
		return parseList(dec, depth)
	}
	return t, nil
}

func parseObject(dec *json.Decoder, depth int) (o object, err error) {
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, syntaxError(err)
		}
		name, _ := t.(string)
		v, err := parseValue(dec, depth+1)
		if err != nil {
			return nil, err
		}
		o = append(o, objectMember{name: name, value: v})
	}
	return o, closeDelim(dec)
}

func parseList(dec *json.Decoder, depth int) (l list, err error) {
	l = list{}
	for dec.More() {
		v, err := parseValue(dec, depth+1)
		if err != nil {
			return nil, err
		}
		l = append(l, v)
	}
	return l, closeDelim(dec)
}

func closeDelim(dec *json.Decoder) error {
	if _, err := dec.Token(); err != nil {
		return syntaxError(err)
	}
	return nil
}

// fill sets dst from the parsed value v and adds a fault for whatever doesn't
// fit. Fields of dst that v leaves out keep their values.
func (f *faults) fill(path string, v any, dst reflect.Value) {
	if u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		f.fillText(path, v, u)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		f.fillStruct(path, v, dst)
	case reflect.Slice:
		f.fillSlice(path, v, dst)
	case reflect.String:
		if s, ok := v.(string); ok {
			dst.SetString(s)
			return
		}
		f.add(path, "is not a string")
	case reflect.Bool:
		if b, ok := v.(bool); ok {
			dst.SetBool(b)
			return
		}
		f.add(path, "is not true or false")
	default:
		f.fillNumber(path, v, dst)
	}
}

func (f *faults) fillText(path string, v any, dst encoding.TextUnmarshaler) {
	s, ok := v.(string)
	if !ok {
		f.add(path, "is not a string")
		return
	}
	if err := dst.UnmarshalText([]byte(s)); err != nil {
		f.add(path, "%q: %v", s, err)
	}
}

func (f *faults) fillStruct(path string, v any, dst reflect.Value) {
	o, ok := v.(object)
	if !ok {
		f.add(path, "is not an object")
		return
	}
	seen := make(map[string]bool, len(o))
	for _, m := range o {
		field := dst.FieldByName(m.name)
		switch {
		case !field.CanSet():
			f.add(fieldPath(path, m.name), "is not a field of this schema version")
		case seen[m.name]:
			f.add(fieldPath(path, m.name), "is given twice")
		default:
			f.fill(fieldPath(path, m.name), m.value, field)
		}
		seen[m.name] = true
	}
}

func (f *faults) fillSlice(path string, v any, dst reflect.Value) {
	l, ok := v.(list)
	if !ok {
		f.add(path, "is not an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(l), len(l)))
	for i, e := range l {
		f.fill(elementPath(path, i), e, dst.Index(i))
	}
}

func (f *faults) fillNumber(path string, v any, dst reflect.Value) {
	n, ok := v.(json.Number)
	if !ok {
		f.add(path, "is not a number")
		return
	}
	bits := dst.Type().Bits()
	switch {
	case dst.CanInt():
		i, err := strconv.ParseInt(n.String(), 10, bits)
		if err != nil {
			f.add(path, "%s is not a whole number of %d bits", n, bits)
		}
		dst.SetInt(i)
	case dst.CanUint():
		u, err := strconv.ParseUint(n.String(), 10, bits)
		if err != nil {
			f.add(path, "%s is not a whole number from 0 to %d", n, uint64(1)<<bits-1)
		}
		dst.SetUint(u)
	default:
		x, err := strconv.ParseFloat(n.String(), bits)
		if err != nil {
			f.add(path, "%s is out of range", n)
		}
		dst.SetFloat(x)
	}
}
