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
	// readyTimeout is how long the balancers have to become ready.
	readyTimeout = 10 * time.Second
	// Callers open their first flows spread over maxRampUp, or over the run's
	// duration divided by rampUpDivisor if that is less.
	maxRampUp      = 2 * time.Second
	rampUpDivisor  = 4
	sampleInterval = 200 * time.Millisecond
	pollInterval   = 20 * time.Millisecond
	// reopenDelay is how long a caller waits after a flow that failed.
	reopenDelay = 500 * time.Millisecond
	// One caller of short flows in earlyRequestOneIn puts a request into the
	// opening.
	earlyRequestOneIn = 8
	// A caller's port numbers start above a random one of the firstPorts ports
	// from firstPort on.
	firstPort  = 1024
	firstPorts = 1 << 15
)

// Demo runs a whole deployment on loopback: real balancers and stand-ins for
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
	// Progress receives a line each second. It may be nil.
	Progress io.Writer
	// Log is the balancers' log. If it is nil, their logs are discarded.
	Log *logrus.Logger

	// callerTimeout is the callers' Timeout. 0 means their default.
	callerTimeout time.Duration
}

// run is the state of a running Demo.
type run struct {
	Demo
	deployment deployment
	ledger     *Ledger
	fabric     *Fabric
	baseline   *HashBaseline
	platform   *Platform
	services   []*service
	// The zones of servers, by ID and by instance.
	zonesByServer   map[bronzeflow.ServerID]string
	zonesByInstance map[string]string
	// platformURL and reportsURL are the base URLs of the two HTTP servers.
	platformURL, reportsURL string
	http                    []*http.Server
	// platformReachableAt is when the platform became reachable again for all
	// balancers, in Unix nanoseconds, or 0.
	platformReachableAt atomic.Int64
	// mutedAddress is the control address of the balancer whose links are
	// muted, or nil.
	mutedAddress atomic.Pointer[netip.AddrPort]

	mu sync.Mutex
	// zonesByAddress has the zones of the balancers' control and data addresses.
	zonesByAddress  map[netip.AddrPort]string
	balancers       []*balancer
	started         int
	removedCounters counters
	result          Result
}

// Run runs the Demo until its duration is over and all requests in progress
// have ended. It returns an error if the Demo couldn't be run. Broken promises
// are no error: see Result.Violations.
func (d Demo) Run(ctx context.Context) (result *Result, err error) {
	defer annotate(&err, "run demo")
	d.setDefaults()
	r := &run{Demo: d, ledger: &Ledger{}, baseline: &HashBaseline{}, platform: &Platform{}}
	if err = r.check(); err != nil {
		return nil, err
	}
	defer r.close()
	if err = r.start(ctx); err != nil {
		return nil, err
	}
	if err = r.measure(ctx); err != nil {
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

// start starts everything but the callers.
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
	r.zonesByAddress = make(map[netip.AddrPort]string)
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
	r.zonesByServer, r.zonesByInstance = make(map[bronzeflow.ServerID]string), make(map[string]string)
	for _, size := range r.deployment.Services {
		svc := newService(size, r.deployment.Zones)
		r.services = append(r.services, svc)
		for _, s := range svc.servers {
			if err = s.Start(r.fabric); err != nil {
				return err
			}
			r.zonesByServer[s.id], r.zonesByInstance[s.Instance] = s.Zone, s.Zone
			reports.Handle("/"+s.Instance, s)
		}
		r.baseline.SetPool(svc.Name, svc.servingIDs())
	}
	r.reportsURL, err = r.serveHTTP(reports)
	return err
}

func (r *run) serveHTTP(h http.Handler) (url string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
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

// servingIDs returns the servers that accept new flows of the service.
func (r *run) servingIDs(svc *service) []bronzeflow.ServerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return svc.servingIDs()
}

// measure runs the callers, the disturbance and the measurements and fills in
// the result.
func (r *run) measure(ctx context.Context) (err error) {
	began := time.Now()
	before := r.counters()
	measuring, stopMeasuring := context.WithCancel(ctx)
	calling, stopCalling := context.WithCancel(ctx)
	defer stopMeasuring()
	defer stopCalling()
	var measurements, callers sync.WaitGroup
	measurements.Go(func() { r.sampleImbalance(measuring) })
	measurements.Go(func() { r.reportProgress(measuring) })
	r.startCallers(calling, &callers)
	var disturbErr, publishErr error
	var changes sync.WaitGroup
	changes.Go(func() { disturbErr = r.disturb(ctx) })
	changes.Go(func() { publishErr = r.publishChange(ctx) })
	sleep(ctx, r.Duration)
	changes.Wait()
	seconds := time.Since(began).Seconds()
	after := r.counters()
	stopMeasuring()
	measurements.Wait()
	stopCalling()
	callers.Wait()
	r.fillResult(seconds, before, after)
	if disturbErr != nil {
		return disturbErr
	}
	return publishErr
}

func (d *Demo) rampUp() time.Duration { return min(maxRampUp, d.Duration/rampUpDivisor) }

// startCallers starts one goroutine for each concurrent flow.
func (r *run) startCallers(ctx context.Context, callers *sync.WaitGroup) {
	n := 0
	for _, svc := range r.services {
		for range max(1, int(svc.Share*float64(r.Flows))) {
			n++
			c := r.caller(svc, n)
			delay := r.rampUp() * time.Duration(n) / time.Duration(r.Flows)
			callers.Go(func() { openFlows(ctx, c, svc.Requests, delay) })
		}
	}
}

// caller returns the n-th caller. Its address and first port depend on the
// seed, so that flows hash differently with another seed.
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
		EarlyRequest: svc.Requests > 0 && n%earlyRequestOneIn == 0, Baseline: r.baseline,
		ZoneOf:  func(id bronzeflow.ServerID) string { return r.zonesByServer[id] },
		Timeout: r.callerTimeout, port: firstPort + uint16(random.UintN(firstPorts)),
	}
}

// openFlows opens one flow after another until ctx is done.
func openFlows(ctx context.Context, c *Caller, limit int, delay time.Duration) {
	for sleep(ctx, delay) {
		delay = 0
		if c.Flow(ctx, limit) != Finished {
			delay = reopenDelay
		}
	}
}

// publishChange publishes a change in the middle of the run and measures how
// long it takes until it is in force on every live balancer.
func (r *run) publishChange(ctx context.Context) error {
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
	limited, cancel := context.WithTimeout(ctx, r.Duration/2+maxConfigSeconds*time.Second)
	defer cancel()
	for sleep(limited, pollInterval) {
		if !r.inForce(rev) {
			continue
		}
		if reachableAt := r.platformReachableAt.Load(); reachableAt > published.UnixNano() {
			published = time.Unix(0, reachableAt)
		}
		r.result.ConfigSeconds = time.Since(published).Seconds()
		break
	}
	return nil
}

// inForce reports whether every live balancer has revision rev or a newer one.
func (r *run) inForce(rev uint64) bool {
	for _, b := range r.live() {
		if b.node.Revision() < rev {
			return false
		}
	}
	return true
}

// sampleImbalance measures the imbalance at intervals, beginning after the
// ramp-up, and averages the samples.
func (r *run) sampleImbalance(ctx context.Context) {
	sums := [3]map[string]float64{{}, {}, {}}
	samples := 0.0
	for wait := r.rampUp() + r.rampUp()/2; sleep(ctx, wait); wait = sampleInterval {
		r.mu.Lock()
		samples++
		for _, svc := range r.services {
			serving := svc.serving()
			sums[0][svc.Name] += svc.imbalance()
			sums[1][svc.Name] += r.baseline.Imbalance(svc.Name)
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

func (r *run) reportProgress(ctx context.Context) {
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

// fillResult fills in the Result from the ledger and the counters before and
// after the run.
func (r *run) fillResult(seconds float64, before, after counters) {
	l, res := r.ledger, &r.result
	res.Deployment, res.Disturb, res.Seed = r.Deployment, r.Disturb, r.Seed
	res.Balancers, res.Seconds = r.Balancers, seconds
	res.Flows, res.Requests = l.Established.Load(), l.Requests.Load()
	res.BrokenFlows, res.CutFlows = l.BrokenFlows.Load(), l.CutFlows.Load()
	res.RefusedFlows, res.UnopenedFlows = l.Refused.Load(), l.Unopened.Load()
	res.Misdelivered, res.DoubleRuns = l.Misdelivered.Load(), l.DoubleRuns.Load()
	res.FalseRefusals, res.WrongAnswers = l.FalseRefusals.Load(), l.WrongAnswers.Load()
	res.NewFlowsOnLeaving, res.StrayPackets = l.NewFlowsOnLeaving.Load(), l.StrayPackets.Load()
	res.HashAloneBroken = r.baseline.Broken()
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
