package bronzenode

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzeretry"
)

const (
	// platformReadersPerZone is how many nodes of a zone read the platform. The
	// others get records from their peers, so that reads grow with the number of
	// zones and not of nodes.
	platformReadersPerZone = 2
	// maxRecordsBytes bounds the bodies in one message, unless a single body
	// is longer.
	maxRecordsBytes = 256 << 10
)

// readsPlatform reports whether this node is one of those that read the
// platform. A joining node doesn't: a platform that is behind would give it a
// configuration older than that of its peers.
func (n *Node) readsPlatform() bool {
	n.gate.wait()
	v := n.members.Load().view
	if !v.Ready || v.Fenced {
		return false
	}
	zone := n.cfg.AvailabilityZone
	var names []string
	for name := range v.Members {
		if v.Members[name].AvailabilityZone == zone {
			names = append(names, name)
		}
	}
	return isSelected(names, n.cfg.Name, xxhash.Sum64String(zone), platformReadersPerZone)
}

// onSnapshot puts a new configuration in force. The packet path gets the tunnel
// endpoints before the decisions can choose their servers.
func (n *Node) onSnapshot(s *bronzeconf.Snapshot) {
	n.tunnels.Store(newTunnels(s))
	n.balancer.SetSnapshot(s)
	n.announceRevision(s.Revision)
}

// announceRevision tells the fleet that a revision is in force. A joining node becomes an owner of
// flows by that, and waits for the rest of its first records.
func (n *Node) announceRevision(revision uint64) {
	if n.revision.Load() == 0 && n.missing.awaitsFirst(n.store.Missing) {
		return
	}
	n.revision.Store(revision)
	n.fleet.SetRevision(revision)
}

// onBehind asks a peer for the records in force there that this node lacks.
func (n *Node) onBehind(peer bronzelink.Member) {
	request := &bronzelink.RecordsRequest{Revision: n.store.Revision()}
	for _, v := range n.store.Have() {
		request.Have = append(request.Have, bronzelink.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	n.trySendControl(peer, &bronzelink.Message{RecordsRequest: request})
}

// onRecordsRequest sends a peer the records that it lacks, in parts of bounded
// length. Each part is useful alone: it lists all records and has some bodies.
func (n *Node) onRecordsRequest(from string, r *bronzelink.RecordsRequest) {
	peer, ok := n.members.Load().view.Members[from]
	if !ok {
		peer.Name = from // a link to it is open
	}
	have := make([]bronzeconf.RecordVersion, 0, len(r.Have))
	for _, v := range r.Have {
		have = append(have, bronzeconf.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	revision, present, bodies := n.store.Diff(have)
	if revision < r.Revision {
		return
	}
	versions := make([]bronzelink.RecordVersion, 0, len(present))
	for _, v := range present {
		versions = append(versions, bronzelink.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	for _, part := range splitBodies(bodies) {
		records := &bronzelink.Records{Revision: revision, Present: versions, Bodies: part}
		n.trySendControl(peer, &bronzelink.Message{Records: records})
	}
}

// splitBodies divides bodies into parts of about maxRecordsBytes, at least one
// part.
func splitBodies(bodies []bronzeconf.StoredRecord) [][]bronzelink.StoredRecord {
	parts := [][]bronzelink.StoredRecord{nil}
	size := 0
	for _, b := range bodies {
		last := len(parts) - 1
		if size > 0 && size+len(b.Body) > maxRecordsBytes {
			parts = append(parts, nil)
			size = 0
			last++
		}
		size += len(b.Body)
		parts[last] = append(parts[last], bronzelink.StoredRecord{Name: b.Name, Revision: b.Revision, Body: b.Body})
	}
	return parts
}

// onRecords applies the records that a peer has in force.
func (n *Node) onRecords(from string, r *bronzelink.Records) {
	present := make([]bronzeconf.RecordVersion, 0, len(r.Present))
	for _, v := range r.Present {
		present = append(present, bronzeconf.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	bodies := make([]bronzeconf.StoredRecord, 0, len(r.Bodies))
	for _, b := range r.Bodies {
		bodies = append(bodies, bronzeconf.StoredRecord{Name: b.Name, Revision: b.Revision, Body: b.Body})
	}
	if n.revision.Load() == 0 {
		// Each part changes the configuration, which is complete with the last one.
		n.missing.set(r.Revision, present)
	}
	if _, err := n.store.Apply(r.Revision, present, bodies); err != nil {
		n.log.WithError(err).WithField("Peer", from).Debug("records of a peer not applied")
		return
	}
	n.missing.set(r.Revision, present)
}

const (
	// minMissingPause and maxMissingPause bound the pauses between requests for missing bodies
	// of one revision. They grow, because the peers lack the bodies too if the newest version
	// of a record is invalid; they never end, because peers may have been out of reach.
	minMissingPause = 2 * time.Second
	maxMissingPause = time.Minute
	// firstRecordsTimeout is how long a joining node waits for the bodies of all records that a
	// peer has listed. No peer has the newest version of a record that all have refused.
	firstRecordsTimeout = 3 * time.Second
)

// missingRecords remembers the records that a peer listed as present, so that
// bodies that didn't arrive can be requested again. Otherwise a link that broke
// between two parts of an answer would leave an old record in force: the
// revision already equals that of the peers, so no node would find this one
// behind.
type missingRecords struct {
	mu       sync.Mutex
	revision uint64
	present  []bronzeconf.RecordVersion
	backoff  bronzeretry.Backoff
	// next is the earliest time of the next request.
	next time.Time
	// listedAt is when the first list was set.
	listedAt time.Time
}

func (m *missingRecords) set(revision uint64, present []bronzeconf.RecordVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedAt.IsZero() {
		m.listedAt = time.Now()
	}
	if revision > m.revision {
		m.revision, m.present, m.next = revision, present, time.Time{}
		m.backoff = bronzeretry.Backoff{Min: minMissingPause, Max: maxMissingPause}
	}
}

// awaitsFirst reports whether bodies of the first records are missing that may still arrive. Without
// them a joining node would own flows of services that it doesn't know.
func (m *missingRecords) awaitsFirst(missing func([]bronzeconf.RecordVersion) []string) (ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.listedAt.IsZero() && time.Since(m.listedAt) < firstRecordsTimeout && len(missing(m.present)) > 0
}

// shouldRequest reports whether bodies are missing that are to be requested now,
// and if so begins the pause before the next request.
func (m *missingRecords) shouldRequest(missing func([]bronzeconf.RecordVersion) []string) (ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Before(m.next) || len(missing(m.present)) == 0 {
		return false
	}
	m.next = now.Add(m.backoff.Next())
	return true
}

// requestMissing asks a peer for bodies that didn't arrive.
func (n *Node) requestMissing() {
	if r := n.store.Revision(); r > 0 && n.revision.Load() == 0 {
		n.announceRevision(r)
	}
	if !n.missing.shouldRequest(n.store.Missing) {
		return
	}
	for _, m := range n.members.Load().view.Members {
		if m.Name != n.cfg.Name && m.Revision >= n.store.Revision() {
			n.onBehind(m)
			return
		}
	}
}
