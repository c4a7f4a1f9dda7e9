package bronzefleet

import (
	"fmt"
	"testing"
	"time"

	"bronzeusher.example/bronzeusher/bronzelink"
)

var benchSizes = []int{7, 40, 82, 490}

func benchMembers(size int) []bronzelink.Member {
	var members []bronzelink.Member
	for i := range size {
		m := testMember(i)
		m.Status = bronzelink.Alive
		members = append(members, m)
	}
	return members
}

// BenchmarkNewView measures building a view from scratch, and updating one when
// a member joins or leaves.
func BenchmarkNewView(b *testing.B) {
	for _, size := range benchSizes {
		members := benchMembers(size + 1)
		now := time.Now()
		base := NewView(members[0].Name, members[:size], nil, now)
		more := NewView(members[0].Name, members, base, now)
		b.Run(fmt.Sprintf("scratch/%d", size), func(b *testing.B) {
			for b.Loop() {
				NewView(members[0].Name, members[:size], nil, now)
			}
		})
		b.Run(fmt.Sprintf("join/%d", size), func(b *testing.B) {
			for b.Loop() {
				NewView(members[0].Name, members, base, now)
			}
		})
		b.Run(fmt.Sprintf("leave/%d", size), func(b *testing.B) {
			for b.Loop() {
				NewView(members[0].Name, members[:size], more, now)
			}
		})
	}
}

func BenchmarkOrder(b *testing.B) {
	members := benchMembers(490)
	v := NewView(members[0].Name, members, nil, time.Now())
	hash := uint64(1)
	for b.Loop() {
		hash = hash*6364136223846793005 + 1
		_, _ = v.Order(hash)
	}
}

// benchFleet returns a Fleet that has joined a fleet of the given size. It
// encodes the messages that it sends and counts them in sent.
func benchFleet(size int, sent *int) *Fleet {
	members := benchMembers(size)
	f := &Fleet{Self: members[0]}
	f.Send = func(_ bronzelink.Member, m *bronzelink.Message) error {
		*sent++
		_, err := bronzelink.Encode(m)
		return err
	}
	f.do(func(now time.Time) {
		for _, m := range members[1:] {
			f.entries[m.Name] = &entry{m: m, statusSince: now, lastHeard: now}
		}
		f.phase = joined
		f.dirty = true
	})
	return f
}

// BenchmarkSecond measures the work of one member in one second without changes:
// its ticks, the heartbeats that it receives and the answers to its own, with
// encoding and decoding. The time of one operation divided by a second is the
// share of a core.
func BenchmarkSecond(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			sent := 0
			f := benchFleet(size, &sent)
			p := f.peers.Load()
			beats := int(time.Second / f.interval())
			ticks := int(time.Second * ticksPerInterval / DefaultInterval)
			now := f.lastTick
			b.ReportAllocs()
			for b.Loop() {
				for range ticks {
					now = now.Add(DefaultInterval / ticksPerInterval)
					f.do(func(time.Time) { f.tick(now) })
				}
				for range beats {
					answerAll(b, f, p)
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "messages/op")
		})
	}
}

// answerAll passes the messages of f's peers in one interval to f.
func answerAll(b *testing.B, f *Fleet, p *peers) {
	for _, from := range p.targets {
		receive(b, f, from.Name, &bronzelink.Message{HeartbeatAck: &bronzelink.HeartbeatAck{Digest: f.digests.total}})
	}
	for _, from := range p.neighbours[:min(len(p.neighbours), targetCount)] {
		receive(b, f, from.Name, &bronzelink.Message{Heartbeat: &bronzelink.Heartbeat{
			Member: compact(from), Digest: f.digests.total,
		}})
	}
}

// receive encodes and decodes a message, as on the wire, and passes it to f.
func receive(b *testing.B, f *Fleet, from string, m *bronzelink.Message) {
	encoded, err := bronzelink.Encode(m)
	if err != nil {
		b.Fatal(err)
	}
	decoded, err := bronzelink.Decode(encoded)
	if err != nil {
		b.Fatal(err)
	}
	f.Handle(from, decoded)
}

// BenchmarkReplace measures the work of one member when another is replaced: the
// updates that it left and that a new process joined, with the resulting views.
func BenchmarkReplace(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			sent := 0
			f := benchFleet(size, &sent)
			from := f.neighbours()[0].Name
			other := f.neighbours()[1]
			for b.Loop() {
				other.Status = bronzelink.Left
				f.Handle(from, membersMessage(other))
				other.Status = bronzelink.Alive
				other.Incarnation += 1 << startShift
				f.Handle(from, membersMessage(other))
			}
			b.ReportMetric(float64(sent)/float64(b.N), "messages/op")
		})
	}
}
