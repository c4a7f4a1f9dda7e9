package bronzetest

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzenode"
)

// balancer is a real balancer of a Demo.
type balancer struct {
	name, zone string
	edge       netip.AddrPort
	node       *bronzenode.Node
	// ended is closed when the node's Run returns.
	ended chan struct{}
}

// counters sums up the balancer's counters by the prefixes of their names.
func (b *balancer) counters() (c counters) {
	c.Refusals, c.Retries = make(map[string]int64), make(map[string]int64)
	for name, n := range b.node.Counters() {
		kind, reason, _ := strings.Cut(name, ".")
		switch {
		case n == 0:
		case kind == "ControlBytesSent":
			c.Control += int64(n)
		case kind == "FlowBytesSent":
			c.FlowMessages += int64(n)
		case reason == "":
		case kind == bronzecore.Refuse.String(), kind == bronzecore.Abort.String():
			c.Refusals[reason] += int64(n)
		case kind == "Retry":
			c.Retries[reason] += int64(n)
		}
	}
	return c
}

func (b *balancer) kill() {
	b.node.Kill()
	<-b.ended
}

// counters are counts taken by the balancers.
type counters struct {
	Control, FlowMessages int64
	Refusals, Retries     map[string]int64
}

func (c *counters) add(o counters) {
	c.Control += o.Control
	c.FlowMessages += o.FlowMessages
	c.Refusals = addCounts(c.Refusals, o.Refusals)
	c.Retries = addCounts(c.Retries, o.Retries)
}

func addCounts(dst, src map[string]int64) map[string]int64 {
	sum := make(map[string]int64)
	for _, m := range []map[string]int64{dst, src} {
		for name, n := range m {
			sum[name] += n
		}
	}
	return sum
}

// zoneTransport is the HTTP transport of one balancer. Requests across a
// partition get no response.
type zoneTransport struct {
	next http.RoundTripper
	// unreachable reports whether a partition separates the balancer from the
	// request's server.
	unreachable func(*http.Request) bool
}

// RoundTrip waits for the end of the request's context if the server is
// unreachable, as on a network that drops the packets.
func (t *zoneTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.unreachable(req) {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return t.next.RoundTrip(req)
}

// startBalancer starts a balancer that joins the others. It doesn't wait until
// the balancer is ready.
func (r *run) startBalancer(ctx context.Context, zone string) (err error) {
	defer annotate(&err, "start balancer")
	r.mu.Lock()
	r.started++
	b := &balancer{name: fmt.Sprintf("%s-%d", zone, r.started), zone: zone}
	r.mu.Unlock()
	if b.node, err = bronzenode.New(r.config(b)); err != nil {
		return err
	}
	b.edge = b.node.EdgeAddress()
	b.ended = make(chan struct{})
	go r.runNode(context.WithoutCancel(ctx), b)
	r.mu.Lock()
	r.balancers = append(r.balancers, b)
	r.zonesByAddress[b.node.ControlAddress()], r.zonesByAddress[b.node.DataAddress()] = zone, zone
	r.mu.Unlock()
	r.publishVMs()
	r.fabric.Add(ctx, b.name, zone, b.edge, "http://"+b.node.HTTPAddress().String())
	return nil
}

// runNode runs the balancer until it ends. A balancer that fails affects the
// run's counts in the same way as one that was killed.
func (r *run) runNode(ctx context.Context, b *balancer) {
	defer close(b.ended)
	if err := b.node.Run(ctx); err != nil {
		r.Log.WithError(err).Error("balancer failed")
	}
}

func (r *run) config(b *balancer) bronzenode.Config {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	cfg := bronzenode.Config{
		Name: b.name, Fleet: r.Deployment, Region: r.Deployment, AvailabilityZone: b.zone,
		EdgeAddress: loopback, DataAddress: loopback, ControlAddress: loopback, HTTPAddress: loopback,
		FabricAddress: r.fabric.Egress(), Platform: r.platformURL, Plain: true,
		LeaveQuiet: leaveQuiet, LeaveLimit: leaveLimit, Log: r.Log, Partitioned: r.partitioned,
	}
	for _, peer := range r.live() {
		cfg.Peers = append(cfg.Peers, peer.node.ControlAddress().String())
	}
	transport := &zoneTransport{next: http.DefaultTransport.(*http.Transport).Clone(), unreachable: r.unreachableFrom(b.zone)}
	cfg.Client = &http.Client{Transport: transport}
	return cfg
}

// partitioned reports whether a partition separates two balancers' addresses or
// one of them is muted.
func (r *run) partitioned(from, to netip.AddrPort) bool {
	if m := r.mutedAddress.Load(); m != nil && (*m == from || *m == to) {
		return true
	}
	r.mu.Lock()
	a, b := r.zonesByAddress[from], r.zonesByAddress[to]
	r.mu.Unlock()
	return a != "" && b != "" && !r.fabric.Reachable(a, b)
}

// unreachableFrom returns a function that reports whether a partition separates
// zone from the server of a request: the platform, which is in the first zone,
// or a BackendServer's report.
func (r *run) unreachableFrom(zone string) func(*http.Request) bool {
	return func(req *http.Request) bool {
		serverZone := r.deployment.Zones[0]
		if strings.HasPrefix(req.URL.String(), r.reportsURL) {
			serverZone = r.zonesByInstance[strings.TrimPrefix(req.URL.Path, "/")]
		}
		return !r.fabric.Reachable(zone, serverZone)
	}
}

// publishVMs publishes the list of the balancers that are live.
func (r *run) publishVMs() {
	var vms []bronzeconf.VM
	for _, b := range r.live() {
		vms = append(vms, bronzeconf.VM{
			Name: b.name, AvailabilityZone: b.zone, Region: r.Deployment,
			ControlAddress: b.node.ControlAddress().String(),
		})
	}
	r.platform.SetVMs(vms)
}

// awaitReady waits until all balancers are ready.
func (r *run) awaitReady(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, b := range r.live() {
		for !b.node.Ready() {
			if !sleep(ctx, pollInterval) {
				return errors.Errorf("balancer %s is not ready", b.name)
			}
		}
	}
	return nil
}

// live returns the balancers that were neither killed nor asked to leave.
func (r *run) live() []*balancer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.balancers)
}

// removeBalancer takes b out of the live ones and keeps what it counted.
func (r *run) removeBalancer(b *balancer) {
	last := b.counters()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removedCounters.add(last)
	r.balancers = slices.DeleteFunc(r.balancers, func(o *balancer) bool { return o == b })
}

// counters returns the sum over all balancers, including removed ones.
func (r *run) counters() (sum counters) {
	r.mu.Lock()
	sum.add(r.removedCounters)
	r.mu.Unlock()
	for _, b := range r.live() {
		sum.add(b.counters())
	}
	return sum
}

// leave makes b leave. Until it has left, the fabric notices that only by the
// readiness of b.
func (r *run) leave(ctx context.Context, b *balancer) error {
	limit, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	r.removeBalancer(b)
	r.publishVMs()
	_, err := b.node.Leave(limit)
	r.fabric.Remove(b.name)
	return err
}
