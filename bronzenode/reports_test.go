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

// endpoints stands for the backend servers' health and load endpoints.
type endpoints struct {
	answer func(host string) (report ServerReport, err error)
	polls  atomic.Int64
}

// RoundTrip answers a poll.
func (e *endpoints) RoundTrip(r *http.Request) (res *http.Response, err error) {
	e.polls.Add(1)
	report, err := e.answer(r.URL.Hostname())
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(&report)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(body)))}, err
}

// poller is a node whose polls a test drives.
type poller struct {
	*Node
	due dueServers
}

// newPoller returns a node without peers that has the servers host-0 to
// host-(n-1) to poll.
func newPoller(t *testing.T, n int, e *endpoints, counts *counters) *poller {
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
	return &poller{Node: node}
}

// hostID returns the identifier of host-i.
func hostID(i int) bronzeflow.ServerID {
	return bronzeflow.NewServerID("agency", fmt.Sprintf("host-%d", i))
}

// polling runs steps in a bubble, with a node that has n servers to poll.
func polling(t *testing.T, n int, e *endpoints, steps func(t *testing.T, n *poller)) {
	counts := newCounters() // its goroutine stays outside
	synctest.Test(t, func(t *testing.T) { steps(t, newPoller(t, n, e, counts)) })
}

// poll polls once a second for d and calls step after each time.
func (n *poller) poll(t *testing.T, d time.Duration, step func()) {
	for range d / time.Second {
		time.Sleep(time.Second)
		n.reports.pollDue(t.Context(), &n.due)
		synctest.Wait()
		step()
	}
}

// A node has more servers to ask than fit its byte budget. It asks as many as
// do, and each in its turn.
func TestPollsKeepTheirBudget(t *testing.T) {
	const servers = 700
	asked := make(chan string, 2*servers)
	e := &endpoints{answer: func(host string) (report ServerReport, err error) {
		asked <- host
		return report, nil
	}}
	polling(t, servers, e, func(t *testing.T, n *poller) {
		n.poll(t, servers/pollsPerInterval*time.Second, func() {
			require.LessOrEqual(t, e.polls.Swap(0), int64(pollsPerInterval))
		})
	})
	hosts := map[string]bool{}
	for len(asked) > 0 {
		hosts[<-asked] = true
	}
	require.Len(t, hosts, servers)
}

// A server leaves for a minute, and all nodes must know once, not again and
// again: such news goes out over the byte budget. It is asked every six
// seconds, and its endpoint tells no connections, which must not be passed on
// as none. When it stays, or its endpoint is dead, that is soon known too.
func TestLeavingServerIsNewsOnce(t *testing.T) {
	const leaving = 7
	var stays, dead atomic.Bool
	e := &endpoints{answer: func(host string) (report ServerReport, err error) {
		if dead.Load() {
			return report, errors.New("unreachable")
		}
		report.Leaving = host == fmt.Sprintf("10.0.0.%d", leaving) && !stays.Load()
		return report, nil
	}}
	polling(t, 6*pollsPerInterval, e, func(t *testing.T, n *poller) {
		news := 0
		var last []bronzeflow.ServerID
		step := func() {
			load := n.load()
			require.Empty(t, load.Reported)
			if !slices.Equal(last, load.Leaving) {
				news++
			}
			last = load.Leaving
		}
		n.poll(t, time.Minute, step)
		require.Equal(t, []bronzeflow.ServerID{hostID(leaving)}, last)
		require.Equal(t, 1, news)
		stays.Store(true)
		n.poll(t, 7*time.Second, step)
		require.Empty(t, last)
		stays.Store(false)
		n.poll(t, 7*time.Second, step)
		require.NotEmpty(t, last)
		dead.Store(true)
		n.poll(t, leavingHold+3*6*time.Second, step)
		require.Empty(t, last)
	})
}

// A peer has told once that a server is leaving, and nothing has changed
// since. New flows must stay away as long as that load stands, and come back
// when the peer is gone.
func TestStandingLoadHoldsLeaving(t *testing.T) {
	polling(t, 2, &endpoints{answer: func(string) (report ServerReport, err error) { return report, nil }}, func(t *testing.T, n *poller) {
		left := func() bool { return n.balancer.Status().Services[0].Servers[0].Leaving }
		n.onLoad(&bronzelink.Load{Origin: "b", Sequence: 1, Leaving: []bronzeflow.ServerID{hostID(0)}})
		for range time.Minute / DefaultShareInterval {
			time.Sleep(DefaultShareInterval)
			n.share()
			require.True(t, left())
		}
		n.sharedLoads.forget("b")
		time.Sleep(leavingHold)
		n.share()
		require.False(t, left())
	})
}
