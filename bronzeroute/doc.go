// Package bronzeroute holds the state by which a balancer finds servers through discovery in a
// store: the routes that operators publish, which name pools with weights, and the
// BackendServers that register themselves in these pools.
//
// A Table is one published version of the routes; it must not change once it is in a View. A
// Directory tracks the servers: those that are registered; those whose registration has just
// disappeared, perhaps because of an outage of the store and not of the server; and, for a
// while, those that are gone, so that a packet for one of them can be distinguished from a
// packet for a server that is not known yet. A View joins both for the packet path.
//
// # Usage
//
//	var d bronzeroute.Directory
//	d.SetTable(table, time.Now())
//	d.Register(server)
//	view := d.View()
//	route := view.Route(service)
//	for _, s := range view.Pool(route.Pools[0].Pool) {
//		fmt.Println(s.Instance, s.Status)
//	}
package bronzeroute
