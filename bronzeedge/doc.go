// Package bronzeedge is the balancer daemon of an entry VM for packets that carry
// the token of their server. It runs the decisions of a bronzesteer.Steerer with
// sockets, records from the store, gossip with other nodes, readiness, logs and
// metrics. Package bronzenode is the counterpart for packets that carry no token.
//
// An Adapter connects the daemon to its platform: Wire handles packets, Source
// reads the store, and Decoder decodes records.
//
// # Usage
//
//	e, err := bronzeedge.New(bronzeedge.Config{Name: "edge-1", DataAddress: data, ...}, bronzeedge.Adapter{...}, log)
//	go func() { <-signals; e.Leave() }()
//	err = e.Run(ctx)
package bronzeedge
