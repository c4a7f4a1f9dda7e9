package bronzesoak

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/platform/standin"
)

const (
	probeInterval = 500 * time.Millisecond
	// maxMisses is the number of consecutive failed probes that takes a node out of
	// rotation.
	maxMisses = 2
	// unreadyDeadline is the time after which a node that was told to leave must no
	// longer report that it is ready.
	unreadyDeadline = time.Second
)

// router is a stand-in of the platform's routers. It sends each flow to a node of
// the caller's zone by rendezvous hashing, so that only the flows of a node move
// when the node goes out of rotation.
type router struct {
	soak  *soak
	nodes []*node

	mu     sync.Mutex
	misses map[*node]int
}

// probeReadiness asks a node every probeInterval whether it is ready, until ctx
// is done.
func (r *router) probeReadiness(ctx context.Context, n *node) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		start, leaving := n.currentStart(), n.leavingFor()
		status := getStatus(ctx, client, "http://"+n.cfg.ReadyAddress.String()+standin.ReadyPath)
		r.recordProbe(n, status == http.StatusOK)
		leaving = min(leaving, n.leavingFor())
		if status == http.StatusOK && leaving >= unreadyDeadline && n.currentStart() == start {
			r.soak.violations.add(ReadyAgain, "%s is ready though it leaves, for %v", n.name, leaving)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// getStatus returns the HTTP status of a GET request, 0 if it fails.
func getStatus(ctx context.Context, client *http.Client, url string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

func (r *router) recordProbe(n *node, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		r.misses[n] = 0
		return
	}
	r.misses[n]++
}

// ready reports whether a node is in rotation: it failed fewer than maxMisses
// consecutive probes.
func (r *router) ready(n *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses[n] < maxMisses
}

// pick returns the node to which the packets of a flow go now, nil if the zone has
// none. If fewer than half of the zone's nodes are ready, it picks from all.
func (r *router) pick(zone string, key flowKey) *node {
	var all, candidates []*node
	for _, n := range r.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if r.ready(n) {
			candidates = append(candidates, n)
		}
	}
	if 2*len(candidates) < len(all) {
		candidates = all
	}
	var best *node
	highest := uint64(0)
	for _, n := range candidates {
		h := xxhash.Sum64String(n.name + key.caller.String() + key.service.String())
		if best == nil || h > highest {
			best, highest = n, h
		}
	}
	return best
}
