package bronzeconf

import (
	"encoding/json"
	"reflect"
	"strconv"
	"unicode/utf8"
)

// schemaVersionField is the field that holds a record's schema version.
const schemaVersionField = "SchemaVersion"

// Decode decodes the record that is published under name. It returns either the
// service or every fault that it finds, each with the path of its field, such as
// Pool[3].Address. A record whose schema version is newer than this build knows
// has a single Refusal, of SchemaVersion.
func Decode(name string, body []byte) (svc *Service, refusals []Refusal) {
	f := &faults{record: name}
	svc = f.decode(body)
	if len(f.list) > 0 {
		return nil, f.list
	}
	return svc, nil
}

func (f *faults) decode(body []byte) *Service {
	if len(body) > MaxRecordBytes {
		f.add("", "is longer than %d bytes", MaxRecordBytes)
		return nil
	}
	if !utf8.Valid(body) {
		f.add("", "is not UTF-8")
		return nil
	}
	tree, err := parseTree(body)
	if err != nil {
		f.add("", "%v", err)
		return nil
	}
	o, ok := tree.(object)
	if !ok {
		f.add("", "is not a JSON object")
		return nil
	}
	return f.decodeVersion(o)
}

func (f *faults) decodeVersion(o object) *Service {
	version, ok := f.schemaVersion(o)
	switch {
	case !ok:
		return nil
	case version == SchemaV1:
		var v ServiceV1
		f.fill("", o, reflect.ValueOf(&v).Elem())
		f.checkV1(&v)
		return v.Service()
	case version == SchemaV2:
		v := NewServiceV2()
		f.fill("", o, reflect.ValueOf(&v).Elem())
		f.checkV2(&v)
		return v.Service()
	case version == SchemaV3:
		v := NewServiceV3()
		f.fill("", o, reflect.ValueOf(&v).Elem())
		f.checkV3(&v)
		return v.Service()
	case version > SchemaNewest:
		f.tooNew = true
		f.add(schemaVersionField, "%d is too new: this build knows versions up to %d", version, SchemaNewest)
	default:
		f.add(schemaVersionField, "%d is unknown", version)
	}
	return nil
}

func (f *faults) schemaVersion(o object) (version int, ok bool) {
	for _, m := range o {
		if m.name != schemaVersionField {
			continue
		}
		n, isNumber := m.value.(json.Number)
		version, err := strconv.Atoi(n.String())
		if !isNumber || err != nil {
			f.add(schemaVersionField, "is not a whole number")
			return 0, false
		}
		return version, true
	}
	f.add(schemaVersionField, "is missing")
	return 0, false
}
