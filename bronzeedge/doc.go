// Package bronzeedge is the daemon of an entry VM whose callers' packets carry
// the token of their server: the decisions of a bronzesteer.Steerer with
// sockets, knowledge, readiness, logs and metrics around them. Package
// bronzenode is its counterpart for packets that carry nothing.
//
// What it speaks to the outside are seams: Wire for packets, Source for the
// store, Decoder for records. An adapter fills them in.
//
// # Usage
//
//	e, err := bronzeedge.New(bronzeedge.Config{Name: "edge-1", DataAddress: data, ...}, bronzeedge.Seams{...})
//	go func() { <-signals; e.Leave() }()
//	err = e.Run(ctx)
package bronzeedge
