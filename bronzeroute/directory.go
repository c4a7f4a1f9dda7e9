package bronzeroute

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// MissingFor is how long a registration that disappeared may come back
	// before the server counts as gone. Registrations lost in an outage are
	// back about two seconds after it, and new flows must keep away from a
	// server that is gone within three.
	MissingFor = 2300 * time.Millisecond
	// RememberFor is how long a server that is gone keeps its token and
	// address known. No flow lives longer than a minute.
	RememberFor = 75 * time.Second
	// RememberRoutesFor is how long a route that was withdrawn is remembered,
	// so that its open flows are ended and not taken for unknown ones.
	RememberRoutesFor = 75 * time.Second
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
	absent    map[string]*entry
	withdrawn map[netip.AddrPort]time.Time
	tokens    *tokens
}

// entry is a server with the times of its disappearance.
type entry struct {
	server  Server
	missing time.Time
	gone    time.Time
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
	}
	for i := range t.Routes {
		delete(d.withdrawn, t.Routes[i].Service)
	}
	d.table = t
	d.book().retain(t)
	return true
}

// Register adds a server or takes in what it now says of itself.
func (d *Directory) Register(s Server) {
	if d.servers == nil {
		d.servers = make(map[string]*entry)
	}
	e := d.servers[s.Instance]
	if e == nil {
		e = &entry{}
		d.servers[s.Instance] = e
		i, _ := d.find(s.Instance)
		d.byName = slices.Insert(d.byName, i, e)
	}
	d.book().add(&s)
	delete(d.absent, s.Instance)
	e.missing, e.gone, e.shown = time.Time{}, time.Time{}, nil
	e.server = s
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
	return slices.BinarySearchFunc(d.byName, name, func(e *entry, name string) int { return cmp.Compare(e.server.Instance, name) })
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
	e.shown = nil
	if e.server.Draining {
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
		case !e.gone.IsZero() && now.Sub(e.gone) > RememberFor:
			delete(d.servers, name)
			delete(d.absent, name)
			i, _ := d.find(name)
			d.byName = slices.Delete(d.byName, i, i+1)
			d.book().remove(name)
			changed = true
		case !e.missing.IsZero() && e.gone.IsZero() && now.Sub(e.missing) > MissingFor:
			e.gone, e.shown = now, nil
			changed = true
		}
	}
	for service, at := range d.withdrawn {
		if now.Sub(at) > RememberRoutesFor {
			delete(d.withdrawn, service)
			changed = true
		}
	}
	return changed
}

// View returns what is known now, nil before the first table.
func (d *Directory) View() *View {
	if d.table == nil {
		return nil
	}
	v := &View{
		Table:     d.table,
		routes:    make(map[netip.AddrPort]*Route, len(d.table.Routes)),
		withdrawn: make(map[netip.AddrPort]struct{}, len(d.withdrawn)),
		pools:     make(map[string][]*Server),
		tokens:    d.book(),
	}
	for i := range d.table.Routes {
		v.routes[d.table.Routes[i].Service] = &d.table.Routes[i]
	}
	for service := range d.withdrawn {
		v.withdrawn[service] = struct{}{}
	}
	d.addServers(v)
	return v
}

func (d *Directory) addServers(v *View) {
	v.Servers = make([]*Server, 0, len(d.byName))
	v.byName = make(map[string]*Server, len(d.byName))
	for _, e := range d.byName {
		s := e.show()
		v.byName[s.Instance] = s
		v.Servers = append(v.Servers, s)
		if s.Status != Gone {
			v.pools[s.Pool] = append(v.pools[s.Pool], s)
		}
	}
}

// show returns the server as views have it, which nobody changes.
func (e *entry) show() *Server {
	if e.shown == nil {
		s := e.server
		s.Status = e.status()
		e.shown = &s
	}
	return e.shown
}

func (e *entry) status() Status {
	switch {
	case !e.gone.IsZero():
		return Gone
	case !e.missing.IsZero():
		return Missing
	case e.server.Draining:
		return Draining
	default:
		return Serving
	}
}
