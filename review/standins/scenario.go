package main

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// scenarios are the cases that can be run.
var scenarios = map[string]func(ctx context.Context, d *deployment, trouble bool) error{
	"1": unreachableReaders,
	"2": foreignEntries,
	"3": drainedEntries,
}

const (
	// afterTrouble is how long a run goes on after the disruption.
	afterTrouble = 7 * time.Second
	// writeDelay is how long after the servers' reports the other writer writes: after
	// their next heartbeat, and when the nodes have nothing else to read.
	writeDelay = heartbeat + 300*time.Millisecond
	// minOpenFlows is the least number of open flows at the servers concerned for a
	// run to say anything.
	minOpenFlows = 3
)

// foreignEntries has another writer write entries of a service that isn't named in the
// configuration under the names of two servers, with an address and a later start of its
// own. The servers write their entries again within a heartbeat, and live on.
func foreignEntries(ctx context.Context, d *deployment, trouble bool) error {
	servers := append(d.liveServersOf(liveService, zones[0], 1), d.liveServersOf(liveService, zones[1], 1)...)
	if err := d.requireOpenFlows(servers); err != nil {
		return err
	}
	for i, s := range servers {
		if !trouble {
			continue
		}
		other := netip.AddrPortFrom(machineIP(i, kindOther, 0), s.addr.Port())
		_, err := d.store.Put("servers/"+s.id, map[string]any{
			"service": "letterpress", "addr": other.String(), "zone": s.zone, "version": "v7", "max-concurrent": 1, "state": "ready",
			"warmup-left-ms": 0, "seq": 1, "born": time.Now().Add(-time.Second).UnixMilli(),
		})
		if err != nil {
			return err
		}
		d.rec.add("another writer writes an entry of service letterpress as servers/%s", s.id)
	}
	if err := sleep(ctx, 2*heartbeat); err != nil {
		return err
	}
	before := make([]int, len(servers))
	for i, s := range servers {
		_, before[i] = s.openFlows()
	}
	err := sleep(ctx, afterTrouble)
	for i, s := range servers {
		open, accepted := s.openFlows()
		d.rec.add("server %s has %d open flows; %d were opened there in the last %v, with its own entry in the store", s.id, open, accepted-before[i], afterTrouble)
	}
	return err
}

// drainedEntries has one server of each zone drain, planned work. The disruption is that
// another writer writes entries under their names that can't be used. The servers write
// their entries again at their next heartbeat, and live on until they leave.
func drainedEntries(ctx context.Context, d *deployment, trouble bool) error {
	var drained []*server
	for _, zone := range zones {
		drained = append(drained, d.liveServersOf(liveService, zone, 1)...)
	}
	for _, s := range drained {
		s.drain()
	}
	if err := sleep(ctx, writeDelay); err != nil {
		return err
	}
	if err := d.requireOpenFlows(drained); err != nil {
		return err
	}
	unusable := []struct {
		what string
		body any
	}{
		{"bytes that can't be read", "?"},
		{"an entry without addr", map[string]any{
			"service": liveService, "zone": drained[1].zone, "version": "v1", "max-concurrent": serverSlots, "state": "draining",
			"warmup-left-ms": 0, "seq": 9, "born": drained[1].born.UnixMilli(),
		}},
		{"an entry with a state that has no meaning", map[string]any{
			"service": liveService, "addr": drained[2].addr.String(), "zone": drained[2].zone, "version": "v1",
			"max-concurrent": serverSlots, "state": "leaving", "warmup-left-ms": 0, "seq": 9, "born": drained[2].born.UnixMilli(),
		}},
	}
	for i, s := range drained {
		if !trouble {
			continue
		}
		if _, err := d.store.Put("servers/"+s.id, unusable[i].body); err != nil {
			return err
		}
		d.rec.add("another writer writes %s as servers/%s", unusable[i].what, s.id)
	}
	return sleep(ctx, afterTrouble)
}

// requireOpenFlows returns an error if too few flows are open at the servers.
func (d *deployment) requireOpenFlows(servers []*server) error {
	total := 0
	for _, s := range servers {
		open, _ := s.openFlows()
		d.rec.add("server %s has %d open flows", s.id, open)
		total += open
	}
	if total < minOpenFlows {
		return errors.New("too few flows are open at the servers concerned")
	}
	return nil
}
