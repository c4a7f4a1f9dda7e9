// Package bronzenode is the daemon around the decisions of bronzecore: it
// opens the sockets, links the node with its peers, reads the platform and
// the backend servers' reports, and serves metrics, health and status.
//
// A Node has four addresses. The edge address takes IP packets encapsulated in
// UDP from the fabric and from the tunnel endpoints of backend servers; a
// datagram from the address and port of a server's record is that server's,
// any other is a caller's. The data address takes relayed packets and flow
// messages from other nodes, the control address their control links. The
// HTTP address is for operators and for the fabric's health check.
//
// A few goroutines serve each packet socket. Each reads a batch of datagrams,
// decides on every one, and writes the resulting packets in a batch. Apart from
// counters, they share only the Balancer's sharded tables and two immutable
// lookup tables, one replaced with each configuration and one with each view of
// the fleet.
//
// Two nodes of each zone read the platform, and the others get records from
// their peers. Two nodes poll each backend server for its report and tell the
// others. Rendezvous hashing over the view selects these nodes, so that they
// needn't coordinate.
//
// # Usage
//
//	n, err := bronzenode.New(bronzenode.Config{
//		Name:             "riga-a-1",
//		Fleet:            "riga",
//		AvailabilityZone: "riga-a",
//		EdgeAddress:      netip.MustParseAddrPort("192.0.2.1:6080"),
//		DataAddress:      netip.MustParseAddrPort("192.0.2.1:6081"),
//		ControlAddress:   netip.MustParseAddrPort("192.0.2.1:6082"),
//		HTTPAddress:      netip.MustParseAddrPort("192.0.2.1:6083"),
//		FabricAddress:    netip.MustParseAddrPort("192.0.2.250:6080"),
//		Platform:         "http://192.0.2.100:8500",
//		Certificate:      "/etc/bronzeusher/node.pem",
//		Key:              "/etc/bronzeusher/node.key",
//		Authority:        "/etc/bronzeusher/ca.pem",
//	})
//	if err != nil {
//		return err
//	}
//	go leaveOn(sigterm, n) // calls n.Leave(ctx)
//	return n.Run(ctx)
//
// Tests and demonstrations can run several nodes in one process on loopback
// addresses, with Plain set and ports of 0. Config.Partitioned simulates
// partitions between them, Pause suspends a node for a while, and Kill ends
// one without notifying its peers.
package bronzenode
