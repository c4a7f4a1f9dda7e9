package bronzetest

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// The defaults of a Demo's zero fields.
const (
	DefaultDeployment = "riga"
	DefaultBalancers  = 7
	DefaultFlows      = 2000
	DefaultDuration   = 15 * time.Second
)

const (
	// settle is how long the balancers have to become ready.
	settle = 10 * time.Second
	// maxRampUp is the time over which the callers open their first flows,
	// but no more than a rampUpPart of the run.
	maxRampUp      = 2 * time.Second
	rampUpPart     = 4
	sampleInterval = 200 * time.Millisecond
	pollInterval   = 20 * time.Millisecond
	// reopenAfter is how long a caller waits after a flow that failed.
	reopenAfter = 500 * time.Millisecond
	// One short flow in earlyOneIn has a request in its opening.
	earlyOneIn = 8
	// A caller's first port is one of firstPorts from firstPort on.
	firstPort  = 1024
	firstPorts = 1 << 15
)

// Demo runs a whole deployment on loopback: real balancers, and stand-ins for
// everything around them. Zero fields mean the defaults.
type Demo struct {
	// Deployment is "riga" or "klang".
	Deployment string
	Balancers  int
	// Flows is how many flows are open at a time.
	Flows    int
	Duration time.Duration
	Disturb  string
	Seed     uint64
	// Progress gets a line each second, nil means none.
	Progress io.Writer
	// Log is where the balancers log, nil means nowhere.
	Log *logrus.Logger

	// giveUp is how long callers wait, 0 means their default.
	giveUp time.Duration
}

// run is a Demo that runs.
type run struct {
	Demo
	deployment deployment
	ledger     *Ledger
	fabric     *Fabric
	shadow     *HashBaseline
	platform   *Platform
	services   []*service
	// zones and reportZones tell where servers are, by ID and by instance.
	zones       map[bronzeflow.ServerID]string
	reportZones map[string]string
	// platformURL and reportsURL are the base URLs of the two HTTP servers.
	platformURL, reportsURL string
	http                    []*http.Server
	// reachable is when the platform could be reached by all again, in Unix
	// nanoseconds.
	reachable atomic.Int64
	// muted is the control address whose links go silent now.
	muted atomic.Pointer[netip.AddrPort]

	mu sync.Mutex
	// places tells the zones of balancers' addresses.
	places    map[netip.AddrPort]string
	balancers []*balancer
	started   int
	gone      counters
	result    Result
}

// Run runs the Demo until its time is over and all requests in progress are
// answered. An error says that it couldn't be run; promises that were broken
// are in the Result.
func (d Demo) Run(ctx context.Context) (result *Result, err error) {
	defer annotate(&err, "run demo")
	d.setDefaults()
	r := &run{Demo: d, ledger: &Ledger{}, shadow: &HashBaseline{}, platform: &Platform{}}
	if err = r.check(); err != nil {
		return nil, err
	}
	defer r.close()
	if err = r.start(ctx); err != nil {
		return nil, err
	}
	if err = r.drive(ctx); err != nil {
		return nil, err
	}
	return &r.result, nil
}

func (d *Demo) setDefaults() {
	d.Deployment = cmp.Or(d.Deployment, DefaultDeployment)
	d.Balancers = cmp.Or(d.Balancers, DefaultBalancers)
	d.Flows = cmp.Or(d.Flows, DefaultFlows)
	d.Duration = cmp.Or(d.Duration, DefaultDuration)
	d.Disturb = cmp.Or(d.Disturb, NoDisturbance)
	if d.Log == nil {
		d.Log = logrus.New()
		d.Log.SetOutput(io.Discard)
	}
}

func (r *run) check() error {
	var ok bool
	if r.deployment, ok = deployments[r.Deployment]; !ok {
		return errors.Errorf("Deployment: %q is not known", r.Deployment)
	}
	if !slices.Contains(Disturbances(), r.Disturb) {
		return errors.Errorf("Disturb: %q is not known", r.Disturb)
	}
	if r.Balancers < 1 || r.Flows < 1 || r.Duration < time.Second {
		return errors.New("Balancers and Flows must be positive, Duration a second or more")
	}
	return nil
}

// start brings everything up but the callers.
func (r *run) start(ctx context.Context) (err error) {
	defer annotate(&err, "start")
	if r.fabric, err = NewFabric(r.ledger, r.Seed); err != nil {
		return err
	}
	if err = r.startServers(); err != nil {
		return err
	}
	if r.platformURL, err = r.serveHTTP(r.platform); err != nil {
		return err
	}
	if _, err = r.publish(); err != nil {
		return err
	}
	r.places = make(map[netip.AddrPort]string)
	for i := range r.Balancers {
		zone := r.deployment.Zones[i%len(r.deployment.Zones)]
		if err = r.startBalancer(ctx, zone); err != nil {
			return err
		}
	}
	return r.awaitReady(ctx)
}

func (r *run) startServers() (err error) {
	reports := http.NewServeMux()
	r.zones, r.reportZones = make(map[bronzeflow.ServerID]string), make(map[string]string)
	for _, size := range r.deployment.Services {
		svc := newService(size, r.deployment.Zones)
		r.services = append(r.services, svc)
		for _, s := range svc.servers {
			if err = s.Start(r.fabric); err != nil {
				return err
			}
			r.zones[s.id], r.reportZones[s.Instance] = s.Zone, s.Zone
			reports.Handle("/"+s.Instance, s)
		}
		r.shadow.SetPool(svc.Name, svc.pool())
	}
	r.reportsURL, err = r.serveHTTP(reports)
	return err
}

func (r *run) serveHTTP(h http.Handler) (url string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: settle}
	r.http = append(r.http, server)
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (r *run) close() {
	for _, b := range r.live() {
		b.kill()
	}
	for _, s := range r.http {
		_ = s.Close()
	}
	for _, svc := range r.services {
		for _, s := range svc.servers {
			if s.sock != nil {
				s.Close()
			}
		}
	}
	if r.fabric != nil {
		r.fabric.Close()
	}
}

// publish publishes every service's record and returns the revision.
func (r *run) publish() (rev uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := make(map[string][]byte)
	for _, svc := range r.services {
		if records[svc.Name], err = svc.record(r.reportsURL); err != nil {
			return 0, err
		}
	}
	return r.platform.Publish(records)
}

// pool returns the servers that take the service's new flows.
func (r *run) pool(svc *service) []bronzeflow.ServerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return svc.pool()
}

// drive runs callers, disturbance and measurements to their end.
func (r *run) drive(ctx context.Context) (err error) {
	began := time.Now()
	before := r.counters()
	measuring, stop := context.WithCancel(ctx)
	calling, hangUp := context.WithCancel(ctx)
	defer stop()
	defer hangUp()
	var measurements, work sync.WaitGroup
	measurements.Go(func() { r.sample(measuring) })
	measurements.Go(func() { r.progress(measuring) })
	r.startCallers(calling, &work)
	var disturbed, configured error
	var changes sync.WaitGroup
	changes.Go(func() { disturbed = r.disturb(ctx) })
	changes.Go(func() { configured = r.configure(ctx) })
	sleep(ctx, r.Duration)
	changes.Wait()
	seconds := time.Since(began).Seconds()
	after := r.counters()
	stop()
	measurements.Wait()
	hangUp()
	work.Wait()
	r.collect(seconds, before, after)
	if disturbed != nil {
		return disturbed
	}
	return configured
}

func (d *Demo) rampUp() time.Duration { return min(maxRampUp, d.Duration/rampUpPart) }

// startCallers starts one goroutine for each concurrent flow.
func (r *run) startCallers(ctx context.Context, work *sync.WaitGroup) {
	n := 0
	for _, svc := range r.services {
		for range max(1, int(svc.Share*float64(r.Flows))) {
			n++
			c := r.caller(svc, n)
			delay := r.rampUp() * time.Duration(n) / time.Duration(r.Flows)
			work.Go(func() { call(ctx, c, svc.Requests, delay) })
		}
	}
}

// caller returns the n-th caller. Its address and first port depend on the
// seed, so that another seed means other hashes.
func (r *run) caller(svc *service, n int) *Caller {
	random := rand.New(rand.NewPCG(r.Seed, uint64(n)))
	address := netip.AddrFrom4([4]byte{10, byte(random.Uint32()), byte(n >> 8), byte(n)})
	if svc.Endpoint.Addr().Is6() {
		address = netip.AddrFrom16([16]byte{0x20, 0x01, 0x0d, 0xb8, 13: byte(random.Uint32()), 14: byte(n >> 8), 15: byte(n)})
	}
	zones := r.deployment.Zones
	return &Caller{
		Fabric: r.fabric, Address: address, Zone: zones[n%len(zones)],
		Service: svc.Name, Endpoint: svc.Endpoint, ThinkTime: svc.ThinkTime,
		EarlyRequest: svc.Requests > 0 && n%earlyOneIn == 0, Baseline: r.shadow,
		ZoneOf: func(id bronzeflow.ServerID) string { return r.zones[id] },
		Timeout: r.giveUp, port: firstPort + uint16(random.UintN(firstPorts)),
	}
}

// call opens one flow after another until ctx is done.
func call(ctx context.Context, c *Caller, limit int, delay time.Duration) {
	for sleep(ctx, delay) {
		delay = 0
		if c.Flow(ctx, limit) != Finished {
			delay = reopenAfter
		}
	}
}

// configure publishes a change in the middle of the run, and measures how
// long it takes until every live balancer has it.
func (r *run) configure(ctx context.Context) error {
	if !sleep(ctx, r.Duration/2) {
		return nil
	}
	r.mu.Lock()
	for _, svc := range r.services {
		svc.edition++
	}
	r.mu.Unlock()
	rev, err := r.publish()
	if err != nil {
		return err
	}
	published := time.Now()
	r.result.ConfigSeconds = -1
	limit, cancel := context.WithTimeout(ctx, r.Duration/2+maxConfigSeconds*time.Second)
	defer cancel()
	for sleep(limit, pollInterval) {
		if !r.inForce(rev) {
			continue
		}
		if up := r.reachable.Load(); up > published.UnixNano() {
			published = time.Unix(0, up)
		}
		r.result.ConfigSeconds = time.Since(published).Seconds()
		break
	}
	return nil
}

func (r *run) inForce(rev uint64) bool {
	for _, b := range r.live() {
		if b.node.Revision() < rev {
			return false
		}
	}
	return true
}

// sample measures the imbalance at intervals, after the flows are open.
func (r *run) sample(ctx context.Context) {
	sums := [3]map[string]float64{{}, {}, {}}
	samples := 0.0
	for wait := r.rampUp() + r.rampUp()/2; sleep(ctx, wait); wait = sampleInterval {
		r.mu.Lock()
		samples++
		for _, svc := range r.services {
			serving := svc.serving()
			sums[0][svc.Name] += svc.imbalance()
			sums[1][svc.Name] += r.shadow.Imbalance(svc.Name)
			for _, s := range serving {
				sums[2][svc.Name] += float64(s.FlowCount()) / float64(len(serving))
			}
		}
		r.mu.Unlock()
	}
	for i := range sums {
		for name := range sums[i] {
			sums[i][name] /= samples
		}
	}
	r.result.Imbalance, r.result.HashAloneImbalance, r.result.FlowsPerHost = sums[0], sums[1], sums[2]
}

func (r *run) progress(ctx context.Context) {
	if r.Progress == nil {
		return
	}
	l := r.ledger
	for n := 1; sleep(ctx, time.Second); n++ {
		_, _ = fmt.Fprintf(r.Progress, "%3d s  balancers %d  flows %d  requests %d  packets %d  broken %d  refused %d  unopened %d\n",
			n, len(r.live()), l.Established.Load(), l.Requests.Load(), l.Packets.Load(),
			l.BrokenFlows.Load(), l.Refused.Load(), l.Unopened.Load())
	}
}

// collect fills in the Result.
func (r *run) collect(seconds float64, before, after counters) {
	l, res := r.ledger, &r.result
	res.Deployment, res.Disturb, res.Seed = r.Deployment, r.Disturb, r.Seed
	res.Balancers, res.Seconds = r.Balancers, seconds
	res.Flows, res.Requests = l.Established.Load(), l.Requests.Load()
	res.BrokenFlows, res.CutFlows = l.BrokenFlows.Load(), l.CutFlows.Load()
	res.RefusedFlows, res.UnopenedFlows = l.Refused.Load(), l.Unopened.Load()
	res.Misdelivered, res.DoubleRuns = l.Misdelivered.Load(), l.DoubleRuns.Load()
	res.FalseRefusals, res.WrongAnswers = l.FalseRefusals.Load(), l.WrongAnswers.Load()
	res.NewFlowsOnLeaving, res.StrayPackets = l.NewFlowsOnLeaving.Load(), l.StrayPackets.Load()
	res.HashAloneBroken = r.shadow.Broken()
	if packets := l.Packets.Load(); packets > 0 {
		res.RelayedShare = float64(l.Relayed.Load()) / float64(packets)
		res.PacketsPerSecond = float64(packets) / seconds
	}
	res.OpensTried, res.FurtherServers = l.FurtherAttempts()
	perBalancer := seconds * float64(r.Balancers)
	res.ControlBytesPerSecond = float64(after.Control-before.Control) / perBalancer
	res.FlowMessageBytesPerSecond = float64(after.FlowMessages-before.FlowMessages) / perBalancer
	res.Refusals, res.Retries = after.Refusals, after.Retries
	res.maxImbalance = make(map[string]float64)
	for _, svc := range r.services {
		res.maxImbalance[svc.Name] = svc.MaxImbalance
	}
}
