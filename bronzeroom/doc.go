// Package bronzeroom estimates how many requests wait at the servers of a pool and learns how
// many may wait before the servers reject requests or answer late. It decides only: it does no
// I/O, reads no clock and starts no goroutines. Times are durations since the node's start; they
// may go backwards by a few milliseconds between goroutines and forwards by any amount.
//
// # Usage
//
// Keep a Gauge and a Room for each pool, and a Server for each server. Tell them of each request
// and of each answer, then compare what waits with the limit:
//
//	var gauge bronzeroom.Gauge
//	var room bronzeroom.Room
//	var server bronzeroom.Server
//
//	// At a request, and when it is answered or given up:
//	gauge.Begin(at)
//	gauge.Finish(at)
//
//	// When the caller acknowledges an answer:
//	waiting := gauge.Waiting(usual, at) * share / slots
//	rejected := room.Observe(bronzeroom.Answer{At: at, Bytes: n, Waiting: waiting})
//	server.Observe(rejected, at)
//
//	// At an opening:
//	limit := room.Limit(bronzeroom.Bounds{Usual: usual, Objective: objective, At: at})
//	if waiting > limit {
//		// Some openings are to be refused.
//	}
//	slots := speed * server.Factor(at)
//
//	// When the nodes of the zone or the servers change:
//	first := bronzeroom.Subset(nodes, self, len(servers))
package bronzeroom
