package bronzesteer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callers are clients that come one after the other, each with one request, before servers
// one of which hangs: it accepts openings, takes requests, and answers none.
type callers struct {
	*site
	hanging string
	// late says that answers are acknowledged only with the next request.
	lateAcks bool
	waiting  []*client
	byName   map[string]int
}

// come has some callers open a flow and ask, and those answered 60 ms ago acknowledge it.
func (c *callers) arrive(n int) {
	for range n {
		client, d := c.open(live)
		require.Equal(c.t, Forward, d.Kind)
		c.byName[client.server.Instance]++
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
	c := &callers{site: newSite(t, 4), byName: make(map[string]int)}
	c.node.Random = rand.New(rand.NewPCG(5, 6)).IntN
	c.arrive(80)
	clear(c.byName)
	return c
}

// A server hangs with its requests while it accepts openings at once. The caller of each
// waits for nothing until its deadline: the host has acknowledged the data, so that it isn't
// sent again, and the node forgets the request after a moment. The server then has nothing
// to do, as it seems, and gets its part of the callers and more.
func TestHangingServerGetsLess(t *testing.T) {
	c := newCallers(t)
	c.hanging = "a-0"
	c.arrive(40)
	clear(c.byName)
	c.arrive(80)
	require.LessOrEqual(t, c.byName["a-0"], 4, "a quarter of the callers would be 20")
	require.Empty(t, c.endings, "nothing is ended for it")
}

// It is well again. What counted against it fades, and it gets its part.
func TestHangingServerRecovers(t *testing.T) {
	c := newCallers(t)
	c.hanging = "a-0"
	c.arrive(40)
	c.hanging = ""
	c.arrive(1000)
	clear(c.byName)
	c.arrive(80)
	require.GreaterOrEqual(t, c.byName["a-0"], 10)
}

// Callers acknowledge answers only with their next request, so that each seems to be
// missing for as long as its caller has nothing to ask. No server counts as slow for it.
func TestDelayedAcksNotOverdue(t *testing.T) {
	c := newCallers(t)
	c.lateAcks = true
	c.arrive(200)
	c.advance(2 * time.Second)
	for _, status := range c.node.Servers(c.now) {
		require.Less(t, status.LatencyMS, int64(100))
	}
}
