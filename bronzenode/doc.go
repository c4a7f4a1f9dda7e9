// Package bronzenode is the daemon around the decisions of bronzecore: it
// opens the sockets, links the node with its peers, reads the platform and
// the backend servers' reports, and serves metrics, health and status.
//
// A Node has four addresses. The edge address takes IP packets in UDP from the
// fabric and from the tunnel endpoints of backend servers; a datagram is a
// server's if it comes from the address and port that the server's record
// names, and a caller's otherwise. The data address takes packets and messages
// about flows from other nodes, the control address their links. The HTTP
// address is for operators and for the fabric's health check.
//
// The packet path is a few goroutines for each socket that read a batch of
// datagrams, decide on each, and write what follows in a batch. They share
// nothing but the decisions' tables, which are sharded, and two directories
// that are replaced whole, one with each configuration and one with each view
// of the fleet.
//
// Two nodes of each zone read the platform and the others get records from
// their peers; two nodes ask each backend server for its report and tell the
// others. Which ones do is worked out from the view by rendezvous hashing, so
// that it takes no exchange.
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
// A test or a demonstration runs several nodes in one process on loopback
// addresses, with Plain set and ports of 0. Cut makes partitions between
// them, Pause stops a node for a while, and Kill ends one without notice.
package bronzenode
