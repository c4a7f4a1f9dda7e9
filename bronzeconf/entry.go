package bronzeconf

import "fmt"

// maxRefusals limits the refusals that are kept for one record: a megabyte of
// unknown fields would yield tens of thousands.
const maxRefusals = 100

// entry is the state of one record in a Store.
type entry struct {
	name string
	// published is the highest revision that an index has listed.
	published uint64
	// floor is the revision that a removed record of this name had reached.
	// Bodies up to it are ignored.
	floor uint64
	// good is the last version without faults, and service its decoded form.
	good    StoredRecord
	service *Service
	// refused is the highest revision that had faults, and refusals lists
	// these.
	refused  uint64
	refusals []Refusal
	// tooNew is the refused version if its schema version is newer than this
	// build knows. It is kept for peers of a newer build, which then needn't
	// read it from the platform.
	tooNew StoredRecord
}

// highest returns the highest revision known of the record.
func (e *entry) highest() uint64 {
	return max(e.published, e.floor)
}

// needs reports whether a body of the given revision would be newer than all
// that the entry has seen.
func (e *entry) needs(revision uint64) bool {
	return revision > max(e.good.Revision, e.refused, e.floor)
}

// setBody applies a body. reason is the event to count, or empty.
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
	e.refusals = truncateRefusals(f.list)
	e.tooNew = StoredRecord{}
	if f.tooNew {
		e.tooNew = r
	}
	return reason, true
}

func truncateRefusals(list []Refusal) []Refusal {
	if len(list) <= maxRefusals {
		return list
	}
	more := Refusal{
		Record: list[0].Record,
		Reason: fmt.Sprintf("has %d more faults", len(list)-maxRefusals),
	}
	return append(list[:maxRefusals:maxRefusals], more)
}

// notInForce returns why the published version isn't in force, or nil if it is.
func (e *entry) notInForce() []Refusal {
	switch {
	case e.refused > e.good.Revision:
		return e.refusals
	case e.published <= e.good.Revision:
		return nil
	case e.published <= e.floor:
		return e.revisionRefusal("%d is not above %d, which the name had when it was removed", e.published, e.floor)
	default:
		return e.revisionRefusal("%d is published but was not handed over; %d is in force", e.published, e.good.Revision)
	}
}

func (e *entry) revisionRefusal(format string, args ...any) []Refusal {
	return []Refusal{{
		Record: e.name,
		Field:  "Revision",
		Reason: fmt.Sprintf(format, args...),
	}}
}
