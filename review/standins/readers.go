package main

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"bronzeusher.example/bronzeusher/platform/standin"
)

const (
	// applyTime is apply-ms of the deployment: how long after its acknowledgement a
	// version may not be in force.
	applyTime = 3 * time.Second
	// slowPeriod and slowRun are how a slow machine runs: a part of each tenth of a
	// second, as with a quota.
	slowPeriod = 100 * time.Millisecond
	slowRun    = 9 * time.Millisecond
	// cutTime is how long the readers don't reach the store, pauseTime how long nothing is
	// cut before.
	cutTime   = 6 * time.Second
	pauseTime = 6 * time.Second
	rounds    = 3
	// watchTime is how long the nodes' requests to the store are counted, to find those
	// that read it.
	watchTime = 4 * time.Second
	// testInterval is the time between two flows that test which version is in force.
	testInterval = 100 * time.Millisecond
	readerCount  = 2
	slowCount    = 2
)

// unreachableReaders drops a route, three times. The disruption is that two machines run
// slower, and that the two that read the store are cut off from it just before. Flows to
// the dropped route that begin more than applyTime after its acknowledgement must not reach
// a server by the other machines, which are in touch.
func unreachableReaders(ctx context.Context, d *deployment, trouble bool) error {
	readers, others, err := d.findReaders(ctx)
	if err != nil {
		return err
	}
	slow, inTouch := others[:slowCount], others[slowCount:]
	if trouble {
		slowCtx, cancel := context.WithCancel(ctx)
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		for _, n := range slow {
			d.rec.add("%s runs slower: for %v of each %v", n.name, slowRun, slowPeriod)
			running.Add(1)
			go func() {
				defer running.Done()
				n.runSlowly(slowCtx)
			}()
		}
	}
	for round := range rounds {
		if err = sleep(ctx, pauseTime); err != nil {
			return err
		}
		if err = d.dropRoute(ctx, uint64(5+2*round), readers, inTouch, trouble); err != nil {
			return err
		}
	}
	return nil
}

// dropRoute publishes a version without the route for files, tests for cutTime which
// version the nodes in touch have in force, and publishes one with the route again.
func (d *deployment) dropRoute(ctx context.Context, version uint64, readers, inTouch []*node, trouble bool) (err error) {
	for _, n := range readers {
		if trouble {
			d.rec.add("%s is cut off from the store", n.name)
			n.storeLink.cut.Store(true)
		}
	}
	if err = d.putTable(version, false); err != nil {
		return err
	}
	acknowledged := time.Now()
	var tests sync.WaitGroup
	d.rec.add("the store has accepted version %d, without the route to %s", version, filesEndpoint)
	for time.Since(acknowledged) < cutTime {
		if err = sleep(ctx, testInterval); err != nil {
			return err
		}
		for _, n := range inTouch {
			tests.Add(1)
			go func() {
				defer tests.Done()
				d.testRoute(ctx, n, acknowledged)
			}()
		}
	}
	// The route is published again only when no test is under way: a flow to it is right then.
	tests.Wait()
	for _, n := range readers {
		n.storeLink.cut.Store(false)
	}
	d.rec.add("all nodes reach the store")
	if err = d.putTable(version+1, true); err != nil {
		return err
	}
	d.rec.add("the store has accepted version %d, with that route", version+1)
	return nil
}

// findReaders returns the nodes that sent the most requests to the store, and the others.
func (d *deployment) findReaders(ctx context.Context) (readers, others []*node, err error) {
	before := make(map[*node]int64)
	for _, n := range d.nodes {
		before[n] = n.storeLink.requests.Load()
	}
	if err = sleep(ctx, watchTime); err != nil {
		return nil, nil, err
	}
	sent := func(n *node) int64 { return n.storeLink.requests.Load() - before[n] }
	sorted := slices.Clone(d.nodes)
	slices.SortStableFunc(sorted, func(a, b *node) int { return int(sent(b) - sent(a)) })
	for _, n := range sorted {
		d.rec.add("%s sent %d requests to the store in %v", n.name, sent(n), watchTime)
	}
	if sent(sorted[readerCount-1]) == 0 {
		return nil, nil, errors.New("fewer than two nodes read the store")
	}
	return sorted[:readerCount], sorted[readerCount:], nil
}

// runSlowly stops and continues a node's process until ctx is done.
func (n *node) runSlowly(ctx context.Context) {
	for ctx.Err() == nil {
		_ = n.cmd.Process.Signal(syscall.SIGSTOP)
		_ = sleep(ctx, slowPeriod-slowRun)
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = sleep(ctx, slowRun)
	}
}

// testRoute opens a flow to the dropped route by a node.
func (d *deployment) testRoute(ctx context.Context, n *node, acknowledged time.Time) {
	var c *caller
	for _, c = range d.callers {
		if c.zone == n.zone {
			break
		}
	}
	f := c.newFlow(filesEndpoint, false)
	f.via = n
	defer c.forget(f)
	sent := time.Since(acknowledged)
	a, ok := f.roundTrip(ctx, func(copies uint32) standin.Packet {
		return standin.Packet{Open: true, Sequence: f.sequence, Acknowledged: copies}
	}, retransmitDelay, 0, func(a *standin.Packet) bool { return a.Accept })
	switch {
	case ok && sent > applyTime:
		d.rec.violation("CONFIG: a flow to the dropped route, begun %v after the acknowledgement, reaches a server by %s (token %d)", sent, n.name, a.Token)
	case ok:
		d.rec.add("a flow to the dropped route, begun after %v, reaches a server by %s", sent, n.name)
	default:
		d.rec.add("a flow to the dropped route, begun after %v, is refused by %s", sent, n.name)
	}
}
