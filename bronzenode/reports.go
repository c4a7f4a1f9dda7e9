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
	// pollersPerServer is how many nodes ask each backend server for its report: one
	// would leave it unasked for seconds when that node dies.
	pollersPerServer = 2
	// pollsPerInterval bounds the reports that one node asks for in one
	// interval. A poll costs about 250 bytes, so a node's polls take at most
	// two fifths of its control budget however many servers there are. Those
	// beyond it are asked in the next intervals; with up to 10 servers for each
	// node a round takes two.
	pollsPerInterval = 10
	// maxConcurrentPolls bounds the reports that one node asks for at a time.
	maxConcurrentPolls = 32
	// maxReportBytes is the longest report that is read, in bytes.
	maxReportBytes = 4096
	// leavingHold is for how long a server that said that it is leaving gets
	// no new flows, unless it says so again: several polls, so that a lost one
	// doesn't bring it back.
	leavingHold = 10 * time.Second
	// maxFailedRounds is how many rounds of polls may fail before a server that is
	// leaving is no longer passed on as such.
	maxFailedRounds = 2
)

// The reasons for which a poll gave nothing.
const (
	pollRequest = "Request"
	pollStatus  = "Status"
	pollBody    = "Body"
	pollBusy    = "Busy"
)

// ServerReport is what a backend server's health and load endpoint answers,
// as a JSON object. Further members are skipped.
type ServerReport struct {
	// Connections is how many flows the server holds.
	Connections *int
	// Leaving is true when the server is to get no new flows.
	Leaving bool
}

// reportPoller asks the backend servers that fall to this node for their reportPoller.
type reportPoller struct {
	node *Node
	pool pond.Pool

	mu sync.Mutex
	// latest holds what the last polls said.
	latest map[bronzeflow.ServerID]latestReport
	// inFlight are the servers whose answer is outstanding.
	inFlight map[bronzeflow.ServerID]bool
	// roundTime is how long it takes to ask all servers once.
	roundTime time.Duration
}

// latestReport is a report with what it left out.
type latestReport struct {
	bronzepool.Report
	// hasConnections is set if the server told its connections. Passed on as none,
	// they would draw flows to a server that tells nothing.
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

// maxQueuedPolls bounds the polls that wait; those beyond it are left out.
const maxQueuedPolls = 4096

// run polls at each interval until ctx is done.
func (r *reportPoller) run(ctx context.Context) error {
	defer r.pool.StopAndWait()
	var due dueServers
	return r.node.every(ctx, r.node.cfg.PollInterval, func() { r.pollDue(ctx, &due) })
}

// pollDue asks the servers that are next.
func (r *reportPoller) pollDue(ctx context.Context, due *dueServers) {
	list := due.list(r.node)
	r.setRoundTime(len(list))
	for range min(len(list), pollsPerInterval) {
		due.last = (due.last + 1) % len(list)
		r.startPoll(ctx, list[due.last])
	}
}

// setRoundTime notes how long a round of n polls takes.
func (r *reportPoller) setRoundTime(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roundTime = time.Duration((n+pollsPerInterval-1)/pollsPerInterval) * r.node.cfg.PollInterval
}

// startPoll asks b, unless the last answer is still outstanding.
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

// poll asks b and takes its answer in. A server that doesn't answer keeps
// its last report, which counts for less the older it is.
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

// recent returns the reports that are young enough to be passed on.
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

// sharedFor returns for how long a report is passed on. One that says that
// its server is leaving is until the next one: dropped in between, it would be
// news to all nodes twice a round, and such news goes out over the budget.
func (r *reportPoller) sharedFor(leaving bool) time.Duration {
	if leaving {
		return leavingHold + maxFailedRounds*r.roundTime
	}
	return reportShareIntervals * r.node.cfg.PollInterval
}

// fetchReport asks the endpoint at url; reason tells what failed.
func fetchReport(ctx context.Context, client *http.Client, url string) (report ServerReport, reason string, err error) {
	defer annotate(&err, "ask for the report at "+url)
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

// dueServers keeps which servers fall to a node, as long as neither the view
// nor the snapshot changes: to find out costs a score for each pair of node
// and server.
type dueServers struct {
	members *members
	tunnels *tunnels
	servers []*bronzeconf.BackendServer
	// last is the index of the server that was asked last.
	last int
}

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
