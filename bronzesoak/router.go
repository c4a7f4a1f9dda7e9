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
	// maxMisses is how many answers in a row a node misses until it is left out.
	maxMisses = 2
	// unreadyDeadline is how long after it was told to leave a node must not say any
	// more that it is ready.
	unreadyDeadline = time.Second
)

// router is a stand-in of the platform's routers: it sends each flow to a node
// of the caller's zone, and only the flows of a node move when that node goes.
type router struct {
	soak  *soak
	nodes []*node

	mu     sync.Mutex
	misses map[*node]int
}

// probe asks a node whether it is ready until ctx is done.
func (r *router) probe(ctx context.Context, n *node) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		begun, leaving := n.currentStart(), n.leavingFor()
		status := getStatus(ctx, client, "http://"+n.cfg.ReadyAddress.String()+standin.ReadyPath)
		r.recordProbe(n, status == http.StatusOK)
		leaving = min(leaving, n.leavingFor())
		if status == http.StatusOK && leaving >= unreadyDeadline && n.currentStart() == begun {
			r.soak.violations.add(ReadyAgain, "%s is ready though it leaves, for %v", n.name, leaving)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// getStatus returns the status of an answer, 0 if there is none.
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

// ready reports whether a node is in rotation.
func (r *router) ready(n *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses[n] < maxMisses
}

// pick returns the node that a flow's packets go to now.
func (r *router) pick(zone string, key flowKey) *node {
	var all, in []*node
	for _, n := range r.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if r.ready(n) {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *node
	most := uint64(0)
	for _, n := range in {
		h := xxhash.Sum64String(n.name + key.caller.String() + key.service.String())
		if best == nil || h > most {
			best, most = n, h
		}
	}
	return best
}
