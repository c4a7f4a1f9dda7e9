package bronzefleet

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// notifyView calls OnView with the latest view unless it has had that already.
func (f *Fleet) notifyView() {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	v := f.view.Load()
	if v.Version == f.notifiedVersion {
		return
	}
	f.notifiedVersion = v.Version
	if f.OnView != nil {
		f.OnView(v)
	}
}

// rebuild builds a new view if something changed.
func (f *Fleet) rebuild(now time.Time) {
	if !f.dirty {
		return
	}
	f.dirty = false
	members := make([]bronzelink.Member, 0, len(f.entries)+1)
	for _, e := range f.entries {
		members = append(members, e.m)
	}
	prev := f.view.Load()
	if f.takenOver && prev != nil {
		// Others owned this node's slots in the meantime. A view without this
		// node in between records these slots as changed.
		prev = f.newView(f.self.Name, members, prev, now)
	}
	f.takenOver = false
	if f.announced() {
		members = append(members, f.self)
	}
	v := f.newView(f.self.Name, members, prev, now)
	v.Ready = f.announced()
	v.Fenced = f.fenced
	v.Partitioned = f.partitioned
	f.view.Store(v)
	f.digests = f.computeDigests()
	f.setPeers()
}

// transmit sends m and counts its bytes.
func (f *Fleet) transmit(to bronzelink.Member, m *bronzelink.Message) {
	if f.Send == nil {
		return
	}
	if f.Sent != nil {
		if b, err := bronzelink.Encode(m); err == nil {
			f.Sent(len(b))
		}
	}
	if err := f.Send(to, m); err != nil {
		f.count(CountSendFailed)
	}
}

// send queues m, which is sent after the lock is released.
func (f *Fleet) send(to bronzelink.Member, m *bronzelink.Message) {
	f.out = append(f.out, outgoing{to: to, m: m})
}

// sendTo queues m for the named member.
func (f *Fleet) sendTo(name string, m *bronzelink.Message) {
	to := bronzelink.Member{Name: name}
	if e := f.entries[name]; e != nil {
		to = e.m
	}
	f.send(to, m)
}
