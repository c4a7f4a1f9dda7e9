package bronzenode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
)

const (
	// pollersPerServer is how many nodes poll each backend server. A single
	// one would leave it without polls for seconds when that node dies.
	pollersPerServer = 2
	// pollsPerInterval bounds the polls that one node makes in one interval. A
	// poll costs about 250 bytes, so a node's polls take at most two fifths of
	// its control budget, however many servers there are. Servers beyond the
	// bound are polled in the next intervals; with up to 10 servers for each
	// node a round takes two intervals.
	pollsPerInterval = 10
	// maxConcurrentPolls bounds the polls that run at the same time.
	maxConcurrentPolls = 32
	// maxReportBytes bounds how much of a report is read.
	maxReportBytes = 4096
	// leavingHold is how long a server that reported that it is leaving gets
	// no new flows, unless it reports so again. It spans several polls, so that
	// a lost one doesn't bring the server back.
	leavingHold = 10 * time.Second
	// maxFailedRounds is how many rounds of polls may fail before a leaving
	// server is no longer reported to other nodes as leaving.
	maxFailedRounds = 2
)

// The reasons why a poll failed.
const (
	pollRequest = "Request"
	pollStatus  = "Status"
	pollBody    = "Body"
	pollBusy    = "Busy"
)

// ServerReport is the JSON object that a backend server's health and load
// endpoint returns. Other members are ignored.
type ServerReport struct {
	// Connections is how many flows the server holds, if it says so.
	Connections *int
	// Leaving is true when the server is to get no new flows.
	Leaving bool
}

// reportPoller polls the backend servers that are assigned to this node.
type reportPoller struct {
	node *Node
	pool pond.Pool

	mu sync.Mutex
	// latest holds the last reports.
	latest map[bronzeflow.ServerID]latestReport
	// inFlight holds the servers with an outstanding poll.
	inFlight map[bronzeflow.ServerID]bool
	// roundTime is how long it takes to poll all servers once.
	roundTime time.Duration
}

// latestReport is a report and whether it includes the connections.
type latestReport struct {
	bronzepool.Report
	// hasConnections is set if the server reported its connections. Shared as
	// 0, missing connections would draw flows to the server.
	hasConnections bool
}

func newReportPoller(n *Node) *reportPoller {
	return &reportPoller{
		node:     n,
		pool:     pond.NewPool(maxConcurrentPolls, pond.WithQueueSize(maxQueuedPolls), pond.WithNonBlocking(true)),
		latest:   make(map[bronzeflow.ServerID]latestReport),
		inFlight: make(map[bronzeflow.ServerID]bool),
	}
}

// maxQueuedPolls bounds the polls that wait; those beyond it are skipped.
const maxQueuedPolls = 4096

// run polls at each interval until ctx is done.
func (r *reportPoller) run(ctx context.Context) error {
	defer r.pool.StopAndWait()
	var due dueServers
	return r.node.every(ctx, r.node.cfg.PollInterval, func() { r.pollDue(ctx, &due) })
}

// pollDue starts the polls of the next servers in turn.
func (r *reportPoller) pollDue(ctx context.Context, due *dueServers) {
	list := due.list(r.node)
	r.setRoundTime(len(list))
	for range min(len(list), pollsPerInterval) {
		due.last = (due.last + 1) % len(list)
		r.startPoll(ctx, list[due.last])
	}
}

// setRoundTime computes how long a round of n polls takes.
func (r *reportPoller) setRoundTime(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roundTime = time.Duration((n+pollsPerInterval-1)/pollsPerInterval) * r.node.cfg.PollInterval
}

// startPoll polls b in the background, unless its last poll is outstanding.
func (r *reportPoller) startPoll(ctx context.Context, b *bronzeconf.BackendServer) {
	r.mu.Lock()
	busy := r.inFlight[b.ID]
	r.inFlight[b.ID] = true
	r.mu.Unlock()
	if busy {
		r.countFailure(pollBusy)
		return
	}
	err := r.pool.Go(func() {
		defer r.finishPoll(b.ID)
		r.poll(ctx, b)
	})
	if err != nil {
		r.finishPoll(b.ID)
		r.countFailure(pollBusy)
	}
}

func (r *reportPoller) finishPoll(id bronzeflow.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, id)
}

// poll fetches the report of b and records it. A server that doesn't answer
// keeps its last report, which counts less the older it is.
func (r *reportPoller) poll(ctx context.Context, b *bronzeconf.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, r.node.cfg.PollInterval)
	defer cancel()
	r.node.counters.named(countPolls).add(1)
	report, reason, err := fetchReport(ctx, r.node.cfg.Client, b.Report)
	if err != nil {
		r.countFailure(reason)
		return
	}
	r.observe(b.ID, report)
}

func (r *reportPoller) countFailure(reason string) {
	r.node.counters.withReason(countPollFailed, reason).add(1)
}

func (r *reportPoller) observe(id bronzeflow.ServerID, report ServerReport) {
	r.node.gate.wait()
	latest := latestReport{
		Report:         bronzepool.Report{Server: id, Leaving: report.Leaving, At: time.Now()},
		hasConnections: report.Connections != nil,
	}
	if latest.hasConnections {
		latest.Connections = *report.Connections
		r.node.balancer.Observe(latest.Report)
	}
	if report.Leaving {
		r.node.balancer.SetLeaving(id, leavingHold)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest[id] = latest
}

// recent returns the reports that are recent enough to be shared, and deletes
// the others.
func (r *reportPoller) recent() map[bronzeflow.ServerID]latestReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	list := make(map[bronzeflow.ServerID]latestReport, len(r.latest))
	for id, report := range r.latest {
		if now.Sub(report.At) > r.sharedFor(report.Leaving) {
			delete(r.latest, id)
			continue
		}
		list[id] = report
	}
	return list
}

// sharedFor returns how long a report is shared with other nodes. One that says
// that its server is leaving is shared until the next one: dropped in between,
// it would change the load twice a round, and such changes are sent to all
// nodes even beyond the byte budget.
func (r *reportPoller) sharedFor(leaving bool) time.Duration {
	if leaving {
		return leavingHold + maxFailedRounds*r.roundTime
	}
	return reportShareIntervals * r.node.cfg.PollInterval
}

// fetchReport gets the report from url; reason says what failed.
func fetchReport(ctx context.Context, client *http.Client, url string) (report ServerReport, reason string, err error) {
	defer annotate(&err, "get report from "+url)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return report, pollRequest, err
	}
	res, err := client.Do(req)
	if err != nil {
		return report, pollRequest, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return report, pollStatus, errors.Errorf("status %s", res.Status)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return report, pollBody, err
	}
	if err = json.Unmarshal(body, &report); err != nil {
		return report, pollBody, err
	}
	if report.Connections != nil && *report.Connections < 0 {
		return report, pollBody, errors.New("Connections is negative")
	}
	return report, "", nil
}

// dueServers caches which servers a node polls until the view or the snapshot
// changes, because computing them takes a score for each pair of node and
// server.
type dueServers struct {
	members *members
	tunnels *tunnels
	servers []*bronzeconf.BackendServer
	// last is the index of the server that was polled last.
	last int
}

// list returns the servers that n polls.
func (d *dueServers) list(n *Node) []*bronzeconf.BackendServer {
	m, t := n.members.Load(), n.tunnels.Load()
	if d.members == m && d.tunnels == t {
		return d.servers
	}
	d.members, d.tunnels, d.servers = m, t, nil
	names := sortedNames(m.view.Members)
	for _, svc := range t.snapshot.Services {
		for i := range svc.Pool {
			b := &svc.Pool[i]
			if b.Report != "" && isSelected(names, n.cfg.Name, uint64(b.ID), pollersPerServer) {
				d.servers = append(d.servers, b)
			}
		}
	}
	return d.servers
}
