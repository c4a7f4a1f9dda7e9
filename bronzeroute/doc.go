// Package bronzeroute holds what a balancer knows that finds its servers by
// discovery: the routes that operators publish, which name pools with weights,
// and the BackendServers that register in these pools themselves.
//
// A Table is one published version of the routes, immutable once it is in a
// View. A Directory keeps the servers: those that are registered, those whose
// registration has just disappeared, which may be an outage of the discovery
// service and not of the server, and for a while those that are gone, so that
// a packet for one of them can be told from one for a server not heard of yet.
// View joins both for the packet path.
//
// # Usage
//
//	var d bronzeroute.Directory
//	d.SetTable(table)
//	d.Register(server)
//	view := d.View(time.Now())
//	route := view.Route(key)
//	for _, s := range view.Pool(route.Shares[0].Pool) {
//		fmt.Println(s.Instance, s.Status)
//	}
package bronzeroute
