package bronzeconf

import "fmt"

// maxRefusals bounds the refusals that are kept of one record: a megabyte of
// unknown fields would have tens of thousands.
const maxRefusals = 100

// entry is what a Store knows of one record.
type entry struct {
	name string
	// published is the newest revision that an index has listed.
	published uint64
	// floor is the revision that the name had when it was removed before.
	floor uint64
	// good is the last version without faults, and service what it means.
	good    StoredRecord
	service *Service
	// refused is the newest revision that was read and had faults.
	refused  uint64
	refusals []Refusal
	// tooNew is kept to be handed over: the asker may be of a newer build,
	// and need not read from the platform itself.
	tooNew StoredRecord
}

// highest returns the newest revision known.
func (e *entry) highest() uint64 {
	return max(e.published, e.floor)
}

// lacks tells whether a body of the given revision would be news.
func (e *entry) lacks(revision uint64) bool {
	return revision > max(e.good.Revision, e.refused, e.floor)
}

// setBody takes a body in. reason says what is to be counted, if anything.
func (e *entry) setBody(r StoredRecord) (reason string, changed bool) {
	if r.Revision <= max(e.good.Revision, e.floor) {
		if r.Revision < max(e.good.Revision, e.floor+1) {
			return RecordStale, false
		}
		return "", false
	}
	if r.Revision == e.refused {
		return "", false
	}
	f := &faults{record: r.Name}
	svc := f.decode(r.Body)
	if len(f.list) > 0 {
		return e.refuse(r, f)
	}
	e.good = r
	e.service = svc
	if e.tooNew.Revision < r.Revision {
		e.tooNew = StoredRecord{}
	}
	return "", true
}

func (e *entry) refuse(r StoredRecord, f *faults) (reason string, changed bool) {
	reason = RecordRefused
	if f.tooNew {
		reason = RecordTooNew
	}
	if r.Revision < e.refused {
		return reason, false
	}
	e.refused = r.Revision
	e.refusals = bounded(f.list)
	e.tooNew = StoredRecord{}
	if f.tooNew {
		e.tooNew = r
	}
	return reason, true
}

func bounded(list []Refusal) []Refusal {
	if len(list) <= maxRefusals {
		return list
	}
	more := Refusal{
		Record: list[0].Record,
		Reason: fmt.Sprintf("has %d more faults", len(list)-maxRefusals),
	}
	return append(list[:maxRefusals:maxRefusals], more)
}

// notInForce tells why the version published isn't in force, nil if it is.
func (e *entry) notInForce() []Refusal {
	switch {
	case e.refused > e.good.Revision:
		return e.refusals
	case e.published <= e.good.Revision:
		return nil
	case e.published <= e.floor:
		return e.refusal("%d is not above %d, which the name had when it was removed", e.published, e.floor)
	default:
		return e.refusal("%d is published but was not handed over; %d is in force", e.published, e.good.Revision)
	}
}

func (e *entry) refusal(format string, args ...any) []Refusal {
	return []Refusal{{
		Record: e.name,
		Field:  "Revision",
		Reason: fmt.Sprintf(format, args...),
	}}
}
