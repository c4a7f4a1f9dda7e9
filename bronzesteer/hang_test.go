package bronzesteer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callers are clients that arrive one after the other, each with one request, at servers
// one of which hangs: it accepts openings and requests, but doesn't answer.
type callers struct {
	*site
	hanging string
	// lateAcks means that answers are acknowledged only with the next request.
	lateAcks bool
	waiting  []*client
	byServer map[string]int
}

// arrive has n callers open a flow and send a request. Answers are acknowledged after 60
// ms.
func (c *callers) arrive(n int) {
	for range n {
		client, d := c.open(live)
		require.Equal(c.t, Forward, d.Kind)
		c.byServer[client.server.Instance]++
		client.accept()
		client.request()
		c.waiting = append(c.waiting, client)
		c.advance(20 * time.Millisecond)
		if len(c.waiting) > 3 {
			c.acknowledge(c.waiting[0])
			c.waiting = c.waiting[1:]
		}
	}
}

func (c *callers) acknowledge(client *client) {
	switch {
	case client.server.Instance == c.hanging:
	case c.lateAcks:
		client.packet.Sequence += uint32(client.packet.Length)
		client.packet.Acknowledged += 1000
		client.send()
	default:
		client.acknowledge()
	}
}

func newCallers(t *testing.T) *callers {
	c := &callers{site: newSite(t, 4), byServer: make(map[string]int)}
	c.node.Random = rand.New(rand.NewPCG(5, 6)).IntN
	c.arrive(80)
	clear(c.byServer)
	return c
}

// A server accepts openings at once but hangs on all requests. It acknowledges the data, so
// that callers don't retransmit it, and the node stops counting each request as in flight
// after a moment. The server must not look idle and attract more than its share of the
// flows.
func TestHangingServerGetsLess(t *testing.T) {
	c := newCallers(t)
	c.hanging = "a-0"
	c.arrive(40)
	clear(c.byServer)
	c.arrive(80)
	require.LessOrEqual(t, c.byServer["a-0"], 4, "an equal share would be 20")
	require.Empty(t, c.endedFlows, "no flow is ended")
}

// Once the server answers again, its penalty must decay until it gets its share.
func TestHangingServerRecovers(t *testing.T) {
	c := newCallers(t)
	c.hanging = "a-0"
	c.arrive(40)
	c.hanging = ""
	c.arrive(1000)
	clear(c.byServer)
	c.arrive(80)
	require.GreaterOrEqual(t, c.byServer["a-0"], 10)
}

// If callers acknowledge answers only with their next request, each answer seems to be
// missing until then. No server may count as slow for it.
func TestDelayedAcksNotOverdue(t *testing.T) {
	c := newCallers(t)
	c.lateAcks = true
	c.arrive(200)
	c.advance(2 * time.Second)
	for _, status := range c.node.Servers(c.now) {
		require.Less(t, status.LatencyMS, int64(100))
	}
}
