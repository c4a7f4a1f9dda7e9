package bronzeroute

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// MissingTimeout is how long a registration that disappeared may come back
	// before the server counts as gone. Registrations lost in an outage are
	// back about two seconds after it, and new flows must keep away from a
	// server that is gone within three.
	MissingTimeout = 2300 * time.Millisecond
	// GoneRetention is how long a server that is gone keeps its token and
	// address known. No flow lives longer than a minute.
	GoneRetention = 75 * time.Second
	// WithdrawnRouteRetention is how long a route that was withdrawn is remembered,
	// so that its open flows are ended and not taken for unknown ones.
	WithdrawnRouteRetention = 75 * time.Second
)

// Directory keeps the table in force and the servers. The zero Directory is
// empty and ready. It is not safe for concurrent use; its Views are.
type Directory struct {
	table   *Table
	servers map[string]*entry
	// byName are the same by name, so that a view isn't sorted anew at each change.
	byName []*entry
	// absent are those of servers that are missing or gone. Time changes nothing
	// for the others, which are thousands, and it is looked at ten times a second.
	absent map[string]*entry
	// recalled are the servers that are kept from new flows until what they said is
	// written again.
	recalled  map[string]*entry
	withdrawn map[netip.AddrPort]time.Time
	zones     zones
	tokens    *tokens
	// last is the last view. What didn't change since is taken from it: routesStale
	// says that routes did, stale which pools.
	last        *View
	routesStale bool
	stale       map[string]struct{}
}

// entry is a server with the times of its disappearance.
type entry struct {
	server  Server
	missing time.Time
	gone    time.Time
	// recalled is until when it takes no new flows, the zero time if it does, and
	// recalledLeaving says that it had said it leaves.
	recalled        time.Time
	recalledLeaving bool
	// shown is the server as views have it, nil after a change.
	shown *Server
}

// SetTable puts a table in force unless it is older than the one that is.
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
			d.touchAll()
		}
	}
	for i := range t.Routes {
		delete(d.withdrawn, t.Routes[i].Service)
	}
	d.table = t
	d.routesStale = true
	d.book().retain(t)
	return true
}

// Register adds a server or takes in what it now says of itself. What an earlier
// start of the server said isn't taken, however late it comes.
func (d *Directory) Register(s Server) (taken bool) {
	if d.servers == nil {
		d.servers = make(map[string]*entry)
	}
	e := d.servers[s.Instance]
	if e != nil && s.StartedAt.Before(e.server.StartedAt) {
		return false
	}
	if e == nil {
		e = &entry{}
		d.servers[s.Instance] = e
		i, _ := d.find(s.Instance)
		d.byName = slices.Insert(d.byName, i, e)
	}
	d.book().add(&s)
	delete(d.absent, s.Instance)
	d.touch(e)
	e.missing, e.gone = time.Time{}, time.Time{}
	d.release(e)
	e.server = s
	d.touch(e)
	return true
}

// book returns the tokens that all views share.
func (d *Directory) book() *tokens {
	if d.tokens == nil {
		d.tokens = &tokens{}
	}
	return d.tokens
}

// find returns where a name is in byName, or would be.
func (d *Directory) find(name string) (i int, found bool) {
	return slices.BinarySearchFunc(d.byName, name, func(e *entry, name string) int { return strings.Compare(e.server.Instance, name) })
}

// Unregister notes that a registration has disappeared. A server that had
// said it would leave is gone; another one is missing first.
func (d *Directory) Unregister(instance string, now time.Time) {
	e := d.servers[instance]
	if e == nil || !e.missing.IsZero() || !e.gone.IsZero() {
		return
	}
	if d.absent == nil {
		d.absent = make(map[string]*entry)
	}
	d.absent[instance] = e
	d.touch(e)
	if e.server.Draining || e.recalledLeaving {
		e.gone = now
		return
	}
	e.missing = now
}

// Advance moves missing servers to gone and forgets what is old. It reports
// whether a View made before is out of date.
func (d *Directory) Advance(now time.Time) (changed bool) {
	for name, e := range d.absent {
		switch {
		case !e.gone.IsZero() && now.Sub(e.gone) > GoneRetention:
			delete(d.servers, name)
			delete(d.absent, name)
			i, _ := d.find(name)
			d.byName = slices.Delete(d.byName, i, i+1)
			d.book().remove(name)
			d.touch(e)
			changed = true
		case !e.missing.IsZero() && e.gone.IsZero() && now.Sub(e.missing) > MissingTimeout:
			e.gone = now
			d.touch(e)
			changed = true
		}
	}
	changed = d.releaseServers(now) || changed
	changed = d.releaseZones(now) || changed
	d.zones.forget(now)
	for service, at := range d.withdrawn {
		if now.Sub(at) > WithdrawnRouteRetention {
			delete(d.withdrawn, service)
			d.routesStale = true
			changed = true
		}
	}
	return changed
}

// touch notes that a server changes, and its pool with it.
func (d *Directory) touch(e *entry) {
	e.shown = nil
	if d.stale == nil {
		d.stale = make(map[string]struct{})
	}
	d.stale[e.server.Pool] = struct{}{}
}

// View returns what is known now, nil before the first table. It shares with the
// view before what didn't change: of 5,100 servers one changes several times a
// second while many are replaced.
func (d *Directory) View() *View {
	if d.table == nil {
		return nil
	}
	v := &View{Table: d.table, DrainedZones: d.zones.names(), tokens: d.book()}
	d.showRoutes(v)
	d.showServers(v)
	d.last, d.routesStale = v, false
	clear(d.stale)
	return v
}

func (d *Directory) showRoutes(v *View) {
	if d.last != nil && !d.routesStale {
		v.routes, v.withdrawn = d.last.routes, d.last.withdrawn
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

func (d *Directory) showServers(v *View) {
	v.Servers = make([]*Server, len(d.byName))
	for i, e := range d.byName {
		v.Servers[i] = d.show(e)
	}
	v.pools = make(map[string][]*Server)
	if d.last != nil {
		maps.Copy(v.pools, d.last.pools)
	}
	d.showPools(v)
}

// showPools puts together the servers of the pools that changed.
func (d *Directory) showPools(v *View) {
	changed := make(map[string][]*Server, len(d.stale))
	for name := range d.stale {
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

// show returns the server as views have it, which nobody changes.
func (d *Directory) show(e *entry) *Server {
	if e.shown == nil {
		s := e.server
		s.ZoneDrained, s.ZoneUndrainedAt = d.zones.of(s.AvailabilityZone)
		s.Status = e.status(s.ZoneDrained)
		s.Warmup = d.table.Warmups[s.Pool]
		e.shown = &s
	}
	return e.shown
}

// status returns the server's status. A missing one of a drained zone, or one that leaves, is
// draining: missing servers take new flows where no other can, those never.
func (e *entry) status(zoneDrained bool) Status {
	switch {
	case !e.gone.IsZero():
		return Gone
	case zoneDrained, e.server.Draining, !e.recalled.IsZero():
		return Draining
	case !e.missing.IsZero():
		return Missing
	default:
		return Serving
	}
}
