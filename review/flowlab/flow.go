package main

import (
	"hash/fnv"
	"net/netip"
	"sync"
	"time"
)

// flowKey identifies a flow by its two ends.
type flowKey struct{ client, service netip.AddrPort }

func (k flowKey) hash(node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node + k.client.String() + k.service.String()))
	// FNV spreads its last bytes badly.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// openFlow is a flow whose host has the end of its handshake.
type openFlow struct {
	host     *host
	openedAt time.Time
	// strayed are the times at which packets of the flow reached other hosts since one last
	// reached its own.
	strayed []time.Time
}

// tracker knows which flows are open, and where.
type tracker struct {
	mu    sync.Mutex
	byKey map[flowKey]*openFlow
}

// opened notes that a host has the end of a flow's handshake.
func (t *tracker) opened(key flowKey, h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byKey[key] = &openFlow{host: h, openedAt: time.Now()}
}

// closed notes that a flow has ended.
func (t *tracker) closed(key flowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byKey, key)
}

// hostOf returns the host at which a flow is open, nil if it isn't.
func (t *tracker) hostOf(key flowKey) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.byKey[key]; f != nil {
		return f.host
	}
	return nil
}

// flowTimeout is the bound flow-timeout-ms.
const flowTimeout = 2 * time.Second

// reached notes that a packet of a flow reached a host. It reports whether for flowTimeout three
// or more packets have reached other hosts and none the flow's own.
func (t *tracker) reached(key flowKey, h *host) (own *host, stray bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.byKey[key]
	if f == nil {
		return nil, false
	}
	if f.host == h {
		f.strayed = nil
		return f.host, false
	}
	f.strayed = append(f.strayed, time.Now())
	return f.host, len(f.strayed) >= 3 && time.Since(f.strayed[0]) >= flowTimeout
}
