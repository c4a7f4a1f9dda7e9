package bronzecore

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// datagramBytes is what a message travels in: the headers of IPv4 and UDP, and
// that of a frame between balancers.
const datagramBytes = 20 + 8 + 12

// copying is an owner with exceptions to copy, in a fleet whose other nodes
// acknowledge at once.
type copying struct {
	Balancer
	t      *testing.T
	copied int
	sent   []int // bytes by second
}

func newCopying(t *testing.T, nodes int) *copying {
	c := &copying{Balancer: Balancer{Name: "vm-0"}, t: t}
	var members []bronzelink.Member
	for i := range nodes {
		members = append(members, bronzelink.Member{Name: fmt.Sprintf("vm-%d", i), Status: bronzelink.Alive})
	}
	c.SetSnapshot(&bronzeconf.Snapshot{})
	c.SetView(bronzefleet.NewView(c.Name, members, nil, time.Now()))
	return c
}

// except makes flow i an exception of this owner.
func (c *copying) except(i int) {
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 0, byte(i >> 8), byte(i)}), 4000)
	key := bronzeflow.NewKey(bronzeflow.TCP, from, netip.MustParseAddrPort("192.0.2.1:443"))
	e := bronzeflow.Entry{
		Server: bronzeflow.ServerID(bronzeflow.Mix(uint64(i), 1)),
		Opened: c.seconds(time.Now()),
		Used:   c.seconds(time.Now()),
		State:  bronzeflow.Established,
		Flags:  bronzeflow.Owned | bronzeflow.Exception,
	}
	require.True(c.t, c.table.Put(&key, key.Hash(), e))
	c.copier.add(key, key.Hash(), e.Opened)
}

// run lets the owner work for that many seconds, with before each tick.
func (c *copying) run(seconds int, before func()) {
	for range seconds {
		c.sent = append(c.sent, 0)
		for range time.Second / TickInterval {
			before()
			for _, a := range c.Tick(nil) {
				c.take(a.Message, a.Peer)
			}
			time.Sleep(TickInterval)
		}
	}
}

// take counts a message and answers it.
func (c *copying) take(m *bronzelink.FlowMessage, peer string) {
	require.NotEmpty(c.t, m.Copies)
	b, err := bronzelink.EncodeFlow(m)
	require.NoError(c.t, err)
	c.sent[len(c.sent)-1] += len(b) + datagramBytes
	c.copied += len(m.Copies)
	acks := &bronzelink.FlowMessage{}
	for _, i := range m.Copies {
		acks.CopyAcks = append(acks.CopyAcks, i.Hash)
	}
	c.HandleMessage(acks, peer, nil)
}

// More exceptions wait than the pace allows, with all of them for one node,
// for a few or each for another. What is sent keeps to the pace all the same,
// but for a second's worth at the start, and uses most of it.
func TestCopiesKeepTheirPace(t *testing.T) {
	const seconds = 10
	for _, nodes := range []int{2, 7, 490} {
		synctest.Test(t, func(t *testing.T) {
			c := newCopying(t, nodes)
			for i := range 2000 {
				c.except(i)
			}
			c.run(seconds, func() {})
			all := 0
			for _, n := range c.sent {
				all += n
				require.LessOrEqual(t, n, 2*DefaultCopyBytesPerSecond)
			}
			require.LessOrEqual(t, all, DefaultCopyBytesPerSecond*seconds)
			require.GreaterOrEqual(t, all, DefaultCopyBytesPerSecond*seconds/2)
		})
	}
}

// Exceptions come one by one, slower than the pace. Each is copied within a
// second of the age from which it is worth that, though a copy has to wait for
// savings that the one before took.
func TestLoneCopiesAreNotHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopying(t, 490)
		ticks, opened := 0, 0
		c.run(10, func() {
			if ticks%10 == 0 {
				c.except(opened)
				opened++
			}
			ticks++
		})
		before := opened
		c.run(4, func() {})
		require.Equal(t, before, c.copied)
		require.Zero(t, c.copier.pending())
		for _, n := range c.sent {
			require.LessOrEqual(t, n, DefaultCopyBytesPerSecond)
		}
	})
}
