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
	// sameRegionDelay and crossRegionDelay are one-way delays of messages.
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 40 * time.Millisecond
	// maxChangeTime bounds the time until all nodes have a configuration change.
	maxChangeTime = 6 * time.Second
	// maxLeaveTime bounds the time until all nodes know that a server is
	// leaving, for the default fleet sizes. For other sizes the time is only
	// measured, up to leaveTimeout.
	maxLeaveTime = 3 * time.Second
	leaveTimeout = time.Minute
	// The bytes sent during steadyTime are counted after settleTime without
	// any events.
	settleTime = 20 * time.Second
	steadyTime = 20 * time.Second
	// maxSteadyBytes bounds the bytes that a node sends per second: half of the
	// budget.
	maxSteadyBytes = budgetBytes / 2
	// maxRequests bounds the mean number of requests for records that a node
	// sends for a change: one for each neighbour that has the change earlier.
	maxRequests = 8
)

// mesh connects nodes by in-memory links.
type mesh struct {
	t       *testing.T
	nodes   map[string]*meshNode // by control address
	names   map[string]*meshNode // by name
	running sync.WaitGroup
	mu      sync.Mutex
	tally   tally
}

// meshNode is a Fleet and a Store, connected as in a node.
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
			OnBehind:         n.requestRecords,
			OnRecordsRequest: n.answerRecords,
			OnRecords:        n.applyRecords,
			OnLoad:           n.handleLoad,
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
	delay := sameRegionDelay
	if target.self.Region != n.self.Region {
		delay = crossRegionDelay
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

func (n *meshNode) requestRecords(peer bronzelink.Member) {
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

func (n *meshNode) applyRecords(_ string, r *bronzelink.Records) {
	var present []bronzeconf.RecordVersion
	for _, v := range r.Present {
		present = append(present, bronzeconf.RecordVersion{Name: v.Name, Revision: v.Revision})
	}
	var bodies []bronzeconf.StoredRecord
	for _, b := range r.Bodies {
		bodies = append(bodies, bronzeconf.StoredRecord{Name: b.Name, Revision: b.Revision, Body: b.Body})
	}
	// Apply refuses an answer that is older than the revision in force.
	_, _ = n.store.Apply(r.Revision, present, bodies)
}

func (n *meshNode) handleLoad(l *bronzelink.Load) {
	if len(l.Leaving) > 0 {
		n.count(func(t *tally) { t.notified++ })
	}
}

// awaitFormed waits until all nodes are ready and know all members.
func (m *mesh) awaitFormed() {
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
	m.t.Error("the nodes don't know all members after a minute")
}

// spreadChange applies revision 2 at one node and returns how long it takes until
// all nodes have it in force, or a little more than maxChangeTime if some don't
// by then.
func (m *mesh) spreadChange() time.Duration {
	list := deployments[0].records(1)
	list[0].Revision = 2
	begun := time.Now()
	for _, n := range m.nodes {
		_, err := n.store.Apply(2, versions(list), list[:1])
		require.NoError(m.t, err)
		break
	}
	for m.anyBehind() {
		if time.Since(begun) > maxChangeTime {
			break
		}
		time.Sleep(sameRegionDelay)
		synctest.Wait()
	}
	return time.Since(begun)
}

// tally holds the counts of a mesh.
type tally struct {
	requests int     // requests for records
	sent     float64 // bytes on control links
	notified int     // Loads with leaving servers received
}

// count updates the counts with change.
func (m *mesh) count(change func(*tally)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.tally)
}

// takeCounts returns the counts since the last call and resets them.
func (m *mesh) takeCounts() (t tally) {
	m.count(func(now *tally) { t, *now = *now, tally{} })
	return t
}

// steadyBytes returns the mean bytes per second that a node sends without any
// events.
func (m *mesh) steadyBytes() float64 {
	time.Sleep(settleTime)
	synctest.Wait()
	m.takeCounts()
	time.Sleep(steadyTime)
	synctest.Wait()
	return m.takeCounts().sent / steadyTime.Seconds() / float64(len(m.nodes))
}

// spreadLeaving shares at one node that a server is leaving, and returns how long
// it takes until all other nodes know, at most about leaveTimeout.
func (m *mesh) spreadLeaving() time.Duration {
	begun := time.Now()
	for _, n := range m.nodes {
		n.fleet.Share(leavingLoad(1))
		break
	}
	for told := 0; told < len(m.nodes)-1 && time.Since(begun) < leaveTimeout; {
		time.Sleep(sameRegionDelay)
		synctest.Wait()
		told += m.takeCounts().notified
	}
	return time.Since(begun)
}

// anyBehind reports whether any node has a revision below 2.
func (m *mesh) anyBehind() bool {
	for _, n := range m.nodes {
		if n.store.Revision() < 2 {
			return true
		}
	}
	return false
}

// fleetSizes returns the sizes of the fleets, and whether they are set by
// nodesVariable.
func fleetSizes(t *testing.T) (sizes []int, set bool) {
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

// TestChangeReachesAll applies a configuration change at one node, as if only
// that node read the platform. Each node sends its new revision to its
// neighbours, and those that are behind request the records from it. After a
// period without events, one node shares that a server is leaving. The nodes
// share no counts.
func TestChangeReachesAll(t *testing.T) {
	sizes, set := fleetSizes(t)
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			m := newMesh(t, size)
			defer m.running.Wait()
			defer cancel()
			m.start(ctx)
			m.awaitFormed()
			m.takeCounts()
			took := m.spreadChange()
			requests := float64(m.takeCounts().requests) / float64(size)
			require.LessOrEqual(t, took, maxChangeTime)
			require.False(t, m.anyBehind())
			require.LessOrEqual(t, requests, float64(maxRequests))
			steady := m.steadyBytes()
			require.LessOrEqual(t, steady, float64(maxSteadyBytes))
			left := m.spreadLeaving()
			require.Less(t, left, leaveTimeout)
			if !set {
				require.LessOrEqual(t, left, maxLeaveTime)
			} else {
				fmt.Printf("\nChange/nodes=%d 1 %d ms %.3f requests/node %.1f B/s-unshared %d ms-leaving\n",
					size, took.Milliseconds(), requests, steady, left.Milliseconds())
			}
		})
	}
}
