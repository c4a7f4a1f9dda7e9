package main

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// BenchmarkSetSnapshot measures putting a configuration in force.
func BenchmarkSetSnapshot(b *testing.B) {
	for _, d := range deployments {
		b.Run(fmt.Sprintf("hosts=%d", d.hosts), func(b *testing.B) {
			bal := d.balancer(b)
			s := d.store(b).Snapshot()
			for b.Loop() {
				bal.SetSnapshot(s)
			}
		})
	}
}

// BenchmarkConfigHeap reports the heap of a Store and a Balancer with a
// configuration in force.
func BenchmarkConfigHeap(b *testing.B) {
	type node struct {
		store    *bronzeconf.Store
		balancer *bronzecore.Balancer
	}
	for _, d := range deployments {
		benchHeap(b, fmt.Sprintf("hosts=%d", d.hosts), func() node {
			n := node{store: d.store(b), balancer: &bronzecore.Balancer{Name: self}}
			n.balancer.SetSnapshot(n.store.Snapshot())
			return n
		})
	}
}

// BenchmarkViewHeap reports the heap of a view.
func BenchmarkViewHeap(b *testing.B) {
	for _, n := range fleets {
		benchHeap(b, fmt.Sprintf("nodes=%d", n), func() *bronzefleet.View { return view(n) })
	}
}

// BenchmarkDiff measures the answer to a peer that lacks one record. It reports
// the bytes of the request, of the answer, and of an answer with all records.
func BenchmarkDiff(b *testing.B) {
	for _, d := range deployments {
		b.Run(fmt.Sprintf("hosts=%d", d.hosts), func(b *testing.B) {
			s := d.store(b)
			have := s.Have()
			have[0].Revision = 0
			for b.Loop() {
				s.Diff(have)
			}
			b.ReportMetric(controlBytes(b, recordsRequest(have)), "B-request")
			b.ReportMetric(controlBytes(b, recordsAnswer(s, have)), "B-answer")
			b.ReportMetric(controlBytes(b, recordsAnswer(s, nil)), "B-all")
		})
	}
}

// linkBytes is the overhead of TLS and WebSocket per message: the header, type
// and tag of a record, and the header and mask of a frame.
const linkBytes = 22 + 8

// controlBytes returns the bytes of a message on a control link.
func controlBytes(t testing.TB, m *bronzelink.Message) float64 {
	b, err := bronzelink.Encode(m)
	require.NoError(t, err)
	return float64(len(b) + linkBytes)
}

// recordsRequest returns the request of a node that has the given versions.
func recordsRequest(have []bronzeconf.RecordVersion) *bronzelink.Message {
	r := &bronzelink.RecordsRequest{Revision: 1}
	for _, v := range have {
		r.Have = append(r.Have, bronzelink.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	return &bronzelink.Message{RecordsRequest: r}
}

// recordsAnswer returns the answer of a node with the Store s to such a request.
func recordsAnswer(s *bronzeconf.Store, have []bronzeconf.RecordVersion) *bronzelink.Message {
	revision, present, bodies := s.Diff(have)
	r := &bronzelink.Records{Revision: revision}
	for _, v := range present {
		r.Present = append(r.Present, bronzelink.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	for _, body := range bodies {
		r.Bodies = append(r.Bodies, bronzelink.StoredRecord{Name: body.Name, Revision: body.Revision, Body: body.Body})
	}
	return &bronzelink.Message{Records: r}
}

// counts returns a count of flows for each host of d.
func (d deployment) counts(t testing.TB) map[bronzeflow.ServerID]uint32 {
	counts := map[bronzeflow.ServerID]uint32{}
	for _, svc := range d.store(t).Snapshot().Services {
		for i := range svc.Pool {
			counts[svc.Pool[i].ID] = 2
		}
	}
	return counts
}

// ownLoad returns the Load of a node that owns flows on each host of d.
func (d deployment) ownLoad(t testing.TB, origin string) *bronzelink.Load {
	l := &bronzelink.Load{Origin: origin, Sequence: 1 << 40}
	for id, n := range d.counts(t) {
		l.Owned = append(l.Owned, bronzelink.LoadItem{Server: id, Count: n})
	}
	return l
}

// benchBytes reports the bytes of a message on a control link.
func benchBytes(b *testing.B, name string, m *bronzelink.Message) {
	b.Run(name, func(b *testing.B) {
		n := 0.0
		for b.Loop() {
			n = controlBytes(b, m)
		}
		b.ReportMetric(n, "B")
	})
}

// BenchmarkLoad reports the bytes of a Load with counts.
func BenchmarkLoad(b *testing.B) {
	for _, d := range deployments {
		benchBytes(b, fmt.Sprintf("hosts=%d", d.hosts), &bronzelink.Message{Load: d.ownLoad(b, self)})
	}
}

// leavingLoad returns the Load of a node that shares no counts and knows of n
// leaving servers.
func leavingLoad(n int) bronzelink.Load {
	l := bronzelink.Load{Origin: self, Sequence: 1 << 40}
	for i := range n {
		id := bronzeflow.ServerID(bronzeflow.Mix(uint64(i), 1))
		l.Leaving = append(l.Leaving, id)
		l.Reported = append(l.Reported, bronzelink.LoadItem{Server: id, Count: 1000})
	}
	return l
}

// BenchmarkLeavingLoad reports the bytes of a Load with leaving servers and
// without counts of owned flows.
func BenchmarkLeavingLoad(b *testing.B) {
	for _, n := range []int{1, 2, 5, 20} {
		l := leavingLoad(n)
		benchBytes(b, fmt.Sprintf("servers=%d", n), &bronzelink.Message{Load: &l})
	}
}

// BenchmarkMembers reports the bytes of a list of all members.
func BenchmarkMembers(b *testing.B) {
	for _, n := range fleets {
		benchBytes(b, fmt.Sprintf("nodes=%d", n), &bronzelink.Message{Members: &bronzelink.Members{Members: members(n)}})
	}
}

// BenchmarkOwned measures collecting a node's own counts.
func BenchmarkOwned(b *testing.B) {
	for _, d := range sharingDeployments {
		b.Run(fmt.Sprintf("hosts=%d", d.hosts), func(b *testing.B) {
			bal := d.balancer(b)
			for i := range heldFlows {
				openFlow(b, bal, d.key(i))
			}
			for b.Loop() {
				bal.OwnedFlows()
			}
		})
	}
}

// BenchmarkSetOwned measures storing the counts of one other node.
func BenchmarkSetOwned(b *testing.B) {
	for _, d := range sharingDeployments {
		b.Run(fmt.Sprintf("hosts=%d", d.hosts), func(b *testing.B) {
			bal := d.balancer(b)
			counts := d.counts(b)
			for b.Loop() {
				bal.SetOwnedFlows("other", counts)
			}
		})
	}
}

// sharers are the numbers of other nodes that share their counts of the hosts of
// sharingDeployments[1]. They make up to 4,800 pairs, below the 5,000
// of bronzepool.MaxSharedPairs.
var sharers = []int{2, 4, 8, 15}

// BenchmarkOwnersHeap reports the heap of a Balancer with the counts of other
// nodes.
func BenchmarkOwnersHeap(b *testing.B) {
	d := sharingDeployments[1]
	counts := d.counts(b)
	for _, n := range sharers {
		benchHeap(b, fmt.Sprintf("pairs=%d", n*d.hosts), func() *bronzecore.Balancer {
			bal := d.balancer(b)
			for i := range n {
				bal.SetOwnedFlows(fmt.Sprint(i), counts)
			}
			return bal
		})
	}
}

// BenchmarkLoadsHeap reports the heap of a Fleet with the Loads of other nodes,
// which it keeps to pass them on.
func BenchmarkLoadsHeap(b *testing.B) {
	d := sharingDeployments[1]
	for _, n := range sharers {
		benchHeap(b, fmt.Sprintf("pairs=%d", n*d.hosts), func() *bronzefleet.Fleet {
			return loadedFleet(b, d.ownLoad(b, "other"), n)
		})
	}
}

// BenchmarkEmptyLoadsHeap is BenchmarkLoadsHeap for nodes that share no counts.
func BenchmarkEmptyLoadsHeap(b *testing.B) {
	for _, n := range fleets {
		benchHeap(b, fmt.Sprintf("nodes=%d", n), func() *bronzefleet.Fleet {
			return loadedFleet(b, &bronzelink.Load{Origin: "other", Sequence: 1 << 40}, n-1)
		})
	}
}

// loadedFleet returns a Fleet that has received l from each of n nodes.
func loadedFleet(b *testing.B, l *bronzelink.Load, n int) *bronzefleet.Fleet {
	encoded, err := bronzelink.Encode(&bronzelink.Message{Load: l})
	require.NoError(b, err)
	f := &bronzefleet.Fleet{Self: members(1)[0]}
	for i := range n {
		m, err := bronzelink.Decode(encoded)
		require.NoError(b, err)
		m.Load.Origin = fmt.Sprint(i)
		f.Handle("other", m)
	}
	return f
}

// BenchmarkScores measures the rank scores of one node for all hosts, which
// decide which nodes poll a host. A node computes the scores of each node
// whenever the members or the configuration change.
func BenchmarkScores(b *testing.B) {
	for _, d := range deployments {
		b.Run(fmt.Sprintf("hosts=%d", d.hosts), func(b *testing.B) {
			sum := uint64(0)
			for b.Loop() {
				for j := range d.hosts {
					sum += bronzeflow.Mix(uint64(j), xxhash.Sum64String(self))
				}
			}
			runtime.KeepAlive(sum)
		})
	}
}
