package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// nearDelay and farDelay are one way, inside a region and between two.
	nearDelay = time.Millisecond
	farDelay  = 40 * time.Millisecond
	// changeWithin bounds the time of a change to all nodes.
	changeWithin = 6 * time.Second
	// leaveWithin bounds the time of a server's leaving to all nodes of the
	// fleets that the test has by itself. What larger ones take is measured.
	leaveWithin = 3 * time.Second
	leaveMost   = time.Minute
	// What is sent for steadyTime is counted when nothing has happened for
	// settling.
	settling   = 20 * time.Second
	steadyTime = 20 * time.Second
	// maxSteady bounds the bytes a second, half of the budget.
	maxSteady = budgetBytes / 2
	// maxRequests bounds the requests for records that a change costs a node
	// on average: one for each neighbour that has the change sooner.
	maxRequests = 8
)

// mesh joins nodes by in-memory links.
type mesh struct {
	t       *testing.T
	nodes   map[string]*meshNode // by control address
	names   map[string]*meshNode
	running sync.WaitGroup
	mu      sync.Mutex
	tally   tally
}

// meshNode is a Fleet with a Store that are joined as in a node.
type meshNode struct {
	*mesh
	self  bronzelink.Member
	fleet *bronzefleet.Fleet
	store *bronzeconf.Store
}

func newMesh(t *testing.T, size int) *mesh {
	m := &mesh{t: t, nodes: map[string]*meshNode{}, names: map[string]*meshNode{}}
	for _, self := range members(size) {
		n := &meshNode{mesh: m, self: self, store: deployments[0].store(t)}
		n.fleet = &bronzefleet.Fleet{
			Self:             self,
			Send:             n.send,
			OnBehind:         n.askForRecords,
			OnRecordsRequest: n.answerRecords,
			OnRecords:        n.takeRecords,
			OnLoad:           n.takeLoad,
		}
		n.fleet.Share(bronzelink.Load{})
		n.fleet.SetRevision(1)
		n.store.OnChange = func(s *bronzeconf.Snapshot) { n.fleet.SetRevision(s.Revision) }
		m.nodes[self.ControlAddress] = n
		m.names[self.Name] = n
	}
	return m
}

// start runs all nodes until ctx is done.
func (m *mesh) start(ctx context.Context) {
	var all []bronzelink.Member
	for _, n := range m.nodes {
		all = append(all, bronzelink.Member{ControlAddress: n.self.ControlAddress})
	}
	for _, n := range m.nodes {
		n.fleet.Join(all)
		m.running.Go(func() {
			if err := n.fleet.Run(ctx); err != nil {
				m.t.Error(err)
			}
		})
	}
}

// send delivers msg after the delay between the two nodes.
func (n *meshNode) send(to bronzelink.Member, msg *bronzelink.Message) error {
	target := n.nodes[to.ControlAddress]
	if target == nil {
		target = n.names[to.Name]
	}
	if target == nil {
		return nil
	}
	b, err := bronzelink.Encode(msg)
	if err != nil {
		return err
	}
	n.count(func(t *tally) { t.sent += float64(len(b) + linkBytes) })
	delay := nearDelay
	if target.self.Region != n.self.Region {
		delay = farDelay
	}
	n.running.Add(1)
	time.AfterFunc(delay, func() {
		defer n.running.Done()
		decoded, err := bronzelink.Decode(b)
		if err != nil {
			n.t.Error(err)
			return
		}
		target.fleet.Handle(n.self.Name, decoded)
	})
	return nil
}

func (n *meshNode) askForRecords(peer bronzelink.Member) {
	n.count(func(t *tally) { t.requests++ })
	_ = n.send(peer, recordsRequest(n.store.Have()))
}

func (n *meshNode) answerRecords(from string, r *bronzelink.RecordsRequest) {
	var have []bronzeconf.RecordVersion
	for _, v := range r.Have {
		have = append(have, bronzeconf.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	_ = n.send(bronzelink.Member{Name: from}, recordsAnswer(n.store, have))
}

func (n *meshNode) takeRecords(_ string, r *bronzelink.Records) {
	var present []bronzeconf.RecordVersion
	for _, v := range r.Present {
		present = append(present, bronzeconf.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	var bodies []bronzeconf.StoredRecord
	for _, b := range r.Bodies {
		bodies = append(bodies, bronzeconf.StoredRecord{Name: b.Name, Revision: b.Revision, Body: b.Body})
	}
	// An older answer than the one in force is refused, as it has to be.
	_, _ = n.store.Apply(r.Revision, present, bodies)
}

func (n *meshNode) takeLoad(l *bronzelink.Load) {
	if len(l.Leaving) > 0 {
		n.count(func(t *tally) { t.told++ })
	}
}

// await waits until all nodes know all, and the news of that has settled.
func (m *mesh) await() {
	for range 60 {
		time.Sleep(time.Second)
		synctest.Wait()
		joined := 0
		for _, n := range m.nodes {
			if v := n.fleet.View(); v.Ready && len(v.Members) == len(m.nodes) {
				joined++
			}
		}
		if joined == len(m.nodes) {
			return
		}
	}
	m.t.Error("the fleet has not formed in a minute")
}

// change publishes revision 2 to one node and returns how long it takes until
// all have it in force.
func (m *mesh) change() time.Duration {
	list := deployments[0].records(1)
	list[0].Revision = 2
	begun := time.Now()
	for _, n := range m.nodes {
		_, err := n.store.Apply(2, versions(list), list[:1])
		require.NoError(m.t, err)
		break
	}
	for m.behind() {
		if time.Since(begun) > changeWithin {
			break
		}
		time.Sleep(nearDelay)
		synctest.Wait()
	}
	return time.Since(begun)
}

// tally is what a mesh counts.
type tally struct {
	requests int     // for records
	sent     float64 // bytes on control links
	told     int     // nodes that know of a server that leaves
}

// count changes the counts.
func (m *mesh) count(change func(*tally)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.tally)
}

// counted returns the counts since the last call, and begins anew.
func (m *mesh) counted() (t tally) {
	m.count(func(now *tally) { t, *now = *now, tally{} })
	return t
}

// steady returns the bytes that a node sends in a second while nothing
// happens.
func (m *mesh) steady() float64 {
	time.Sleep(settling)
	synctest.Wait()
	m.counted()
	time.Sleep(steadyTime)
	synctest.Wait()
	return m.counted().sent / steadyTime.Seconds() / float64(len(m.nodes))
}

// leave lets one node know that a server is leaving, and returns how long it
// takes until all others do.
func (m *mesh) leave() time.Duration {
	begun := time.Now()
	for _, n := range m.nodes {
		n.fleet.Share(leavingLoad(1))
		break
	}
	for told := 0; told < len(m.nodes)-1 && time.Since(begun) < leaveMost; {
		time.Sleep(nearDelay)
		synctest.Wait()
		told += m.counted().told
	}
	return time.Since(begun)
}

func (m *mesh) behind() bool {
	for _, n := range m.nodes {
		if n.store.Revision() < 2 {
			return true
		}
	}
	return false
}

// changeSizes returns the sizes of the fleets, and whether they were set.
func changeSizes(t *testing.T) (sizes []int, set bool) {
	list, set := os.LookupEnv(nodesVariable)
	if !set {
		list = "7,20"
	}
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		require.NoError(t, err)
		sizes = append(sizes, n)
	}
	return sizes, set
}

// TestChangeReachesAll publishes a change to one node, as if it were the only
// one that reads the platform. It tells its neighbours its revision at once,
// each that is behind asks it for the records, and goes on likewise. Then one
// node learns from a server's endpoint that it is leaving. In between nothing
// happens, and the nodes share no counts.
func TestChangeReachesAll(t *testing.T) {
	sizes, set := changeSizes(t)
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			m := newMesh(t, size)
			defer m.running.Wait()
			defer cancel()
			m.start(ctx)
			m.await()
			m.counted()
			took := m.change()
			requests := float64(m.counted().requests) / float64(size)
			require.LessOrEqual(t, took, changeWithin)
			require.False(t, m.behind())
			require.LessOrEqual(t, requests, float64(maxRequests))
			steady := m.steady()
			require.LessOrEqual(t, steady, float64(maxSteady))
			left := m.leave()
			require.Less(t, left, leaveMost)
			if !set {
				require.LessOrEqual(t, left, leaveWithin)
			} else {
				fmt.Printf("\nChange/nodes=%d 1 %d ms %.3f requests/node %.1f B/s-unshared %d ms-leaving\n",
					size, took.Milliseconds(), requests, steady, left.Milliseconds())
			}
		})
	}
}
