package bronzenode

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// reportEndpoints stands in for the backend servers' health and load endpoints.
type reportEndpoints struct {
	answer func(host string) (report ServerReport, err error)
	polls  atomic.Int64
}

// RoundTrip answers a poll.
func (e *reportEndpoints) RoundTrip(r *http.Request) (res *http.Response, err error) {
	e.polls.Add(1)
	report, err := e.answer(r.URL.Hostname())
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(&report)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(body)))}, err
}

// pollingNode is a node whose polls are driven by a test.
type pollingNode struct {
	*Node
	due dueServers
}

// newPollingNode returns a node without peers that polls the servers host-0 to
// host-(n-1).
func newPollingNode(t *testing.T, n int, e *reportEndpoints, counts *counters) *pollingNode {
	v := bronzeconf.NewServiceV2()
	v.Customer, v.Brand, v.Name = "agency", "maps", "map-live"
	v.Addresses = []netip.Addr{service.Addr()}
	v.Rules = []bronzeconf.RuleV1{{Protocol: "TCP", Port: service.Port()}}
	for i := range n {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		v.Pool = append(v.Pool, bronzeconf.BackendServerV1{
			Instance:         fmt.Sprintf("host-%d", i),
			Address:          netip.AddrPortFrom(address, 6080),
			AvailabilityZone: "riga-a",
			Report:           "http://" + address.String() + "/report",
		})
	}
	body, err := json.Marshal(&v)
	require.NoError(t, err)
	node := &Node{cfg: Config{Name: "a", PollInterval: time.Second, Client: &http.Client{Transport: e}}, counters: counts}
	node.members.Store(newMembers(&bronzefleet.View{Self: "a", Members: map[string]bronzelink.Member{"a": {Name: "a"}}}))
	node.reports = newReportPoller(node)
	node.store.OnChange = node.onSnapshot
	_, err = node.store.Apply(1, []bronzeconf.RecordVersion{{Name: "map-live", Revision: 1}},
		[]bronzeconf.StoredRecord{{Name: "map-live", Revision: 1, Body: body}})
	require.NoError(t, err)
	require.Empty(t, node.store.Snapshot().Refusals)
	return &pollingNode{Node: node}
}

// hostID returns the ID of server host-i.
func hostID(i int) bronzeflow.ServerID {
	return bronzeflow.NewServerID("agency", fmt.Sprintf("host-%d", i))
}

// testPolling runs steps in a synctest bubble, with a node that polls n servers.
func testPolling(t *testing.T, n int, e *reportEndpoints, steps func(t *testing.T, n *pollingNode)) {
	counts := newCounters() // its goroutine must start outside the bubble
	synctest.Test(t, func(t *testing.T) { steps(t, newPollingNode(t, n, e, counts)) })
}

// pollFor polls once a second for d and calls step after each time.
func (n *pollingNode) pollFor(t *testing.T, d time.Duration, step func()) {
	for range d / time.Second {
		time.Sleep(time.Second)
		n.reports.pollDue(t.Context(), &n.due)
		synctest.Wait()
		step()
	}
}

// A node has more servers to poll than its byte budget allows at once. It stays
// within the bound in each interval, and polls every server in turn.
func TestPollBudget(t *testing.T) {
	const servers = 700
	asked := make(chan string, 2*servers)
	e := &reportEndpoints{answer: func(host string) (report ServerReport, err error) {
		asked <- host
		return report, nil
	}}
	testPolling(t, servers, e, func(t *testing.T, n *pollingNode) {
		n.pollFor(t, servers/pollsPerInterval*time.Second, func() {
			require.LessOrEqual(t, e.polls.Swap(0), int64(pollsPerInterval))
		})
	})
	hosts := map[string]bool{}
	for len(asked) > 0 {
		hosts[<-asked] = true
	}
	require.Len(t, hosts, servers)
}

// A server that leaves for a minute must appear in the node's load once and stay
// there, because each such change is sent even beyond the byte budget. The server
// is polled every six seconds, and its endpoint omits the connections, which must
// not be shared as 0. When the server stays after all, or its endpoint is dead,
// it must disappear from the load soon.
func TestLeavingServerSharedOnce(t *testing.T) {
	const leaving = 7
	var stays, dead atomic.Bool
	e := &reportEndpoints{answer: func(host string) (report ServerReport, err error) {
		if dead.Load() {
			return report, errors.New("unreachable")
		}
		report.Leaving = host == fmt.Sprintf("10.0.0.%d", leaving) && !stays.Load()
		return report, nil
	}}
	testPolling(t, 6*pollsPerInterval, e, func(t *testing.T, n *pollingNode) {
		changes := 0
		var last []bronzeflow.ServerID
		step := func() {
			load := n.load()
			require.Empty(t, load.Reported)
			if !slices.Equal(last, load.Leaving) {
				changes++
			}
			last = load.Leaving
		}
		n.pollFor(t, time.Minute, step)
		require.Equal(t, []bronzeflow.ServerID{hostID(leaving)}, last)
		require.Equal(t, 1, changes)
		stays.Store(true)
		n.pollFor(t, 7*time.Second, step)
		require.Empty(t, last)
		stays.Store(false)
		n.pollFor(t, 7*time.Second, step)
		require.NotEmpty(t, last)
		dead.Store(true)
		n.pollFor(t, leavingHold+3*6*time.Second, step)
		require.Empty(t, last)
	})
}

// A peer has reported a leaving server in a load that it doesn't repeat. The
// server must get no new flows while that load is valid, and get them again when
// the peer is gone.
func TestRenewLeaving(t *testing.T) {
	testPolling(t, 2, &reportEndpoints{answer: func(string) (report ServerReport, err error) { return report, nil }}, func(t *testing.T, n *pollingNode) {
		leaving := func() bool { return n.balancer.Status().Services[0].Servers[0].Leaving }
		n.onLoad(&bronzelink.Load{Origin: "b", Sequence: 1, Leaving: []bronzeflow.ServerID{hostID(0)}})
		for range time.Minute / DefaultShareInterval {
			time.Sleep(DefaultShareInterval)
			n.share()
			require.True(t, leaving())
		}
		n.sharedLoads.forget("b")
		time.Sleep(leavingHold)
		n.share()
		require.False(t, leaving())
	})
}
