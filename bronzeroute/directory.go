package bronzeroute

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// MissingTimeout is how long a server whose registration disappeared is kept as Missing
	// before it becomes Gone. Registrations lost in an outage of the store return about two
	// seconds after it ends, and new flows must avoid a server that is gone within three
	// seconds.
	MissingTimeout = 2300 * time.Millisecond
	// awayTimeout is how long after its last answer the store counts as away. A watch is answered
	// within a second, and in a large fleet nodes hear of that up to a second later.
	// freshConfirmation is the age up to which the answer says that the store isn't away.
	awayTimeout       = 2 * time.Second
	freshConfirmation = 1200 * time.Millisecond
	// minMissingConfirmed is for how long the store must have shown a server to be missing, since
	// it was last away, before the server is Gone. maxConfirmDelay is how much longer than
	// MissingTimeout that may take while the store answers.
	minMissingConfirmed = 2 * time.Second
	maxConfirmDelay     = 600 * time.Millisecond
	// GoneRetention is how long the token and address of a gone server are kept. No flow lives
	// longer than a minute.
	GoneRetention = 75 * time.Second
	// WithdrawnRouteRetention is how long a withdrawn route is remembered, so that its open
	// flows are ended rather than treated as unknown.
	WithdrawnRouteRetention = 75 * time.Second
)

// Directory holds the routing table in force and the known servers. The zero value is empty and
// ready to use. A Directory is not safe for concurrent use; its Views are.
type Directory struct {
	table *Table
	// named holds the names of the table's pools.
	named   map[string]struct{}
	servers map[string]*entry
	// byName holds the same entries sorted by instance name, so that building a view needs no
	// sort.
	byName []*entry
	// absent holds the entries that are missing or gone. Advance, which runs ten times a
	// second, visits only these: time changes nothing for the thousands of others.
	absent map[string]*entry
	// recalled holds the servers that take no new flows because of a recalled record, until
	// their records are written again or the recall expires.
	recalled  map[string]*entry
	withdrawn map[netip.AddrPort]time.Time
	// confirmedAt is when the store last showed the present records to any node, zero if that is
	// never told. away is set while the store is away, and returnedAt is when it was last back.
	confirmedAt time.Time
	away        bool
	returnedAt  time.Time
	zones       zones
	tokens      *tokens
	// lastView is the most recent view. A new view reuses the parts of it that have not
	// changed: routesStale reports that the routes have, stalePools names the pools that have.
	lastView    *View
	routesStale bool
	stalePools  map[string]struct{}
}

// entry is a server with the state of its registration.
type entry struct {
	server       Server
	missingSince time.Time
	goneSince    time.Time
	// invalid reports that the server is missing because its record can't be used, not because
	// the record was removed.
	invalid bool
	// recalledUntil is when a recall expires, or the zero time if there is none. Until then the
	// server takes no new flows. recalledDraining reports that the recalled record was
	// draining.
	recalledUntil    time.Time
	recalledDraining bool
	// cached is the server as published in views, nil after a change.
	cached *Server
}

// SetTable puts t in force unless the current table has the same or a later version.
func (d *Directory) SetTable(t *Table, now time.Time) (changed bool) {
	if d.table != nil && t.Version <= d.table.Version {
		return false
	}
	if d.withdrawn == nil {
		d.withdrawn = make(map[netip.AddrPort]time.Time)
	}
	if d.table != nil {
		for i := range d.table.Routes {
			d.withdrawn[d.table.Routes[i].Service] = now
		}
		if !maps.Equal(d.table.Warmups, t.Warmups) {
			d.markAllChanged()
		}
	}
	for i := range t.Routes {
		delete(d.withdrawn, t.Routes[i].Service)
	}
	d.table, d.named = t, t.poolNames()
	d.routesStale = true
	d.sharedTokens().retain(t)
	return true
}

// Check returns why the record of a server that is known already can't be its own: it names
// a pool that the table doesn't have, and another one than before. A server that isn't known
// may be registered before the table that names its pool.
func (d *Directory) Check(s *Server) error {
	e := d.servers[s.Instance]
	if e == nil || e.server.Pool == s.Pool || d.names(s.Pool) {
		return nil
	}
	return errors.Errorf("pool: %q isn't in the table, and the server is known in %q", s.Pool, e.server.Pool)
}

// names reports whether the table names a pool, or there is no table yet.
func (d *Directory) names(pool string) bool {
	_, ok := d.named[pool]
	return ok || d.table == nil
}

// Register adds a server or updates its registration. A registration from an earlier start of
// the server is ignored, however late it arrives, and so is one from the same start that was
// written before the server began to drain. A known registration in a pool that the table
// doesn't name isn't the server's own, and one in a pool of the table replaces it.
func (d *Directory) Register(s Server) (accepted bool) {
	if d.servers == nil {
		d.servers = make(map[string]*entry)
	}
	e := d.servers[s.Instance]
	if e != nil && s.StartedAt.Before(e.server.StartedAt) && (d.names(e.server.Pool) || !d.names(s.Pool)) {
		return false
	}
	if e != nil && e.undoesDrain(&s) {
		return false
	}
	if e == nil {
		e = &entry{}
		d.servers[s.Instance] = e
		i, _ := d.find(s.Instance)
		d.byName = slices.Insert(d.byName, i, e)
	}
	d.sharedTokens().add(&s)
	delete(d.absent, s.Instance)
	d.markChanged(e)
	e.missingSince, e.goneSince, e.invalid = time.Time{}, time.Time{}, false
	d.endRecall(e)
	e.server = s
	d.markChanged(e)
	return true
}

// isRegistered reports whether the server is neither missing nor gone.
func (e *entry) isRegistered() bool { return e.missingSince.IsZero() && e.goneSince.IsZero() }

// undoesDrain reports whether s, which isn't draining, was written before the draining record
// that is registered now: the store may carry out a write late. The sequence of a server orders
// the writes of one start, and begins anew with the next.
func (e *entry) undoesDrain(s *Server) bool {
	return e.isRegistered() && e.server.Draining && !s.Draining && s.StartedAt.Equal(e.server.StartedAt) && s.Sequence < e.server.Sequence
}

// sharedTokens returns the token table that all views share.
func (d *Directory) sharedTokens() *tokens {
	if d.tokens == nil {
		d.tokens = &tokens{}
	}
	return d.tokens
}

// find returns the position of a name in byName, or where it would be inserted.
func (d *Directory) find(name string) (i int, found bool) {
	return slices.BinarySearchFunc(d.byName, name, func(e *entry, name string) int { return strings.Compare(e.server.Instance, name) })
}

// Unregister records that a registration was removed. A server that had announced that it was
// draining is gone at once; any other is missing first.
func (d *Directory) Unregister(instance string, now time.Time) {
	e := d.servers[instance]
	if e == nil || !e.missingSince.IsZero() && !e.invalid || !e.goneSince.IsZero() {
		return
	}
	if !e.invalid {
		d.markMissing(e, now)
	}
	e.invalid = false
	if e.server.Draining || e.recalledDraining {
		e.goneSince = now
		d.markChanged(e)
	}
}

// Invalidate records that a server's record can't be used. The server may still be alive, and
// write its record again: it is missing first, even if it had announced that it was draining.
func (d *Directory) Invalidate(instance string, now time.Time) {
	e := d.servers[instance]
	if e == nil || !e.isRegistered() {
		return
	}
	d.markMissing(e, now)
	e.invalid = true
}

// Confirmed tells the Directory how long ago the store showed the present records to any node. Call
// it before Advance. Servers whose registrations have lapsed can't be registered again while the
// store is away, so that this time doesn't count for MissingTimeout. Without any call, the store is
// never away.
func (d *Directory) Confirmed(ago time.Duration, now time.Time) {
	d.confirmedAt = now.Add(-ago)
	switch {
	case ago > awayTimeout:
		d.away = true
	case d.away:
		d.away, d.returnedAt = false, d.confirmedAt
	}
}

// hasLapsed reports whether a missing server has been so for long enough to be gone.
func (d *Directory) hasLapsed(e *entry, now time.Time) bool {
	since := e.missingSince
	if d.returnedAt.After(since) {
		since = d.returnedAt
	}
	age := now.Sub(since)
	switch {
	case age <= MissingTimeout:
		return false
	case d.confirmedAt.IsZero() || d.confirmedAt.Sub(since) >= minMissingConfirmed:
		return true
	default:
		return now.Sub(d.confirmedAt) <= freshConfirmation && age > MissingTimeout+maxConfirmDelay
	}
}

// Advance turns missing servers into gone ones after MissingTimeout and drops expired state. It
// reports whether earlier Views are out of date.
func (d *Directory) Advance(now time.Time) (changed bool) {
	for name, e := range d.absent {
		switch {
		case !e.goneSince.IsZero() && now.Sub(e.goneSince) > GoneRetention:
			delete(d.servers, name)
			delete(d.absent, name)
			i, _ := d.find(name)
			d.byName = slices.Delete(d.byName, i, i+1)
			d.sharedTokens().remove(name)
			d.markChanged(e)
			changed = true
		case !e.missingSince.IsZero() && e.goneSince.IsZero() && d.hasLapsed(e, now):
			e.goneSince = now
			d.markChanged(e)
			changed = true
		}
	}
	changed = d.expireRecalls(now) || changed
	changed = d.expireZoneDrains(now) || changed
	d.zones.expire(now)
	for service, at := range d.withdrawn {
		if now.Sub(at) > WithdrawnRouteRetention {
			delete(d.withdrawn, service)
			d.routesStale = true
			changed = true
		}
	}
	return changed
}

// markChanged marks a server and its pool as changed.
func (d *Directory) markChanged(e *entry) {
	e.cached = nil
	if d.stalePools == nil {
		d.stalePools = make(map[string]struct{})
	}
	d.stalePools[e.server.Pool] = struct{}{}
}

// View returns the current state, or nil before the first table. It shares everything unchanged
// with the previous view: while many servers are replaced, one of 5,100 changes several times a
// second.
func (d *Directory) View() *View {
	if d.table == nil {
		return nil
	}
	v := &View{Table: d.table, DrainedZones: d.zones.drainedNames(), tokens: d.sharedTokens()}
	d.buildRoutes(v)
	d.buildServers(v)
	d.lastView, d.routesStale = v, false
	clear(d.stalePools)
	return v
}

func (d *Directory) buildRoutes(v *View) {
	if d.lastView != nil && !d.routesStale {
		v.routes, v.withdrawn = d.lastView.routes, d.lastView.withdrawn
		return
	}
	v.routes = make(map[netip.AddrPort]*Route, len(d.table.Routes))
	for i := range d.table.Routes {
		v.routes[d.table.Routes[i].Service] = &d.table.Routes[i]
	}
	v.withdrawn = make(map[netip.AddrPort]struct{}, len(d.withdrawn))
	for service := range d.withdrawn {
		v.withdrawn[service] = struct{}{}
	}
}

func (d *Directory) buildServers(v *View) {
	v.Servers = make([]*Server, len(d.byName))
	for i, e := range d.byName {
		v.Servers[i] = d.serverView(e)
	}
	v.pools = make(map[string][]*Server)
	if d.lastView != nil {
		maps.Copy(v.pools, d.lastView.pools)
	}
	d.buildPools(v)
}

// buildPools rebuilds the server lists of the pools that changed.
func (d *Directory) buildPools(v *View) {
	changed := make(map[string][]*Server, len(d.stalePools))
	for name := range d.stalePools {
		changed[name] = make([]*Server, 0, len(v.pools[name])+1)
		delete(v.pools, name)
	}
	if len(changed) == 0 {
		return
	}
	for _, s := range v.Servers {
		if servers, ok := changed[s.Pool]; ok && s.Status != Gone {
			changed[s.Pool] = append(servers, s)
		}
	}
	for name, servers := range changed {
		if len(servers) > 0 {
			v.pools[name] = servers
		}
	}
}

// serverView returns the server as published in views. The result must not be modified.
func (d *Directory) serverView(e *entry) *Server {
	if e.cached == nil {
		s := e.server
		s.ZoneDrained, s.ZoneUndrainedAt = d.zones.state(s.AvailabilityZone)
		s.Status = e.status(s.ZoneDrained)
		s.Warmup = d.table.Warmups[s.Pool]
		e.cached = &s
	}
	return e.cached
}

// status returns the server's status. A missing server is reported as draining if it or its
// zone is being drained: missing servers may take new flows as a last resort, draining ones
// never do.
func (e *entry) status(zoneDrained bool) Status {
	switch {
	case !e.goneSince.IsZero():
		return Gone
	case zoneDrained, e.server.Draining, !e.recalledUntil.IsZero():
		return Draining
	case !e.missingSince.IsZero():
		return Missing
	default:
		return Serving
	}
}
