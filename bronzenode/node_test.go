package bronzenode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzewire"
)

// The caller sees one connection. The fabric hands its opening to one node
// and the server's acceptance to another, and then each further packet to
// either; the node that didn't place the flow has to ask the one that did.
func TestFlowThroughTwoNodes(t *testing.T) {
	w := newWorld(t, 3)
	a := w.start("a")
	b := w.start("b", a)
	w.open(a, b)
	w.ask(b, a)
	w.ask(a, b)
	w.ask(b, b)
	require.Equal(t, http.StatusOK, w.get(a, MetricsPath))
	require.Equal(t, http.StatusOK, w.get(b, StatusPath))
	require.Equal(t, uint64(1), b.Revision(), "b has no platform: its records are a's")
}

// The caller sees a reset in answer to its opening, and may go elsewhere:
// each server that was tried refused the opening, and nothing ran.
func TestRefusedByAllServers(t *testing.T) {
	w := newWorld(t, 2)
	w.refuse = true
	a := w.start("a")
	w.until(func() { w.call(a, opening) }, true, bronzeflow.Refuse, 0)
	counts := a.Counters()
	require.NotZero(t, counts["Retry.ServerRefused"])
	require.NotZero(t, counts["Refuse.ServerRefused"])
}

// The caller sees nothing of a rollout. The node that holds its flow gets
// SIGTERM: the fabric is told to stop choosing it, the flow's new owner learns
// where the flow is pinned, and only then the node ends.
func TestLeaveKeepsFlow(t *testing.T) {
	w := newWorld(t, 3)
	a := w.start("a")
	b := w.start("b", a)
	w.open(a, b)
	w.ask(a, b)
	undone, err := a.Leave(context.Background())
	require.NoError(t, err)
	require.Equal(t, bronzecore.Remaining{}, undone)
	require.False(t, a.Ready())
	_, err = a.Leave(context.Background())
	require.ErrorIs(t, err, ErrLeaving)
	w.ask(b, b)
	require.True(t, b.Ready())
}

// The caller sees a pause at most. The node that holds its flow dies without
// a word; the other one finds out, looks for the flow's server by its copies
// and by empty probes, and never sends the request to another server.
func TestKillKeepsFlow(t *testing.T) {
	w := newWorld(t, 3)
	a := w.start("a")
	b := w.start("b", a)
	w.open(a, b)
	w.ask(a, b)
	a.Kill()
	w.ask(b, b)
}

// A caller would see a stranger's traffic. A process that is no member sends
// a relayed packet to a node's data address, as the new user of a dead node's
// address may do by mistake; the node drops it, and the next packet that a
// server gets is the fabric's.
func TestStrangersFrameIsDropped(t *testing.T) {
	w := newWorld(t, 1)
	a := w.start("a")
	forged := netip.MustParseAddrPort("192.0.2.66:4001")
	raw, err := bronzewire.BuildTCP(nil, forged, service, bronzewire.SYN, callerSeq, 0, nil)
	require.NoError(t, err)
	frame := bronzewire.AppendFrame(nil, &bronzewire.Frame{Kind: bronzewire.FramePacket, Hops: 1, Body: raw})
	stranger, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.DataAddress()))
	require.NoError(t, err)
	defer func() { _ = stranger.Close() }()
	await(func() bool {
		_, err := stranger.Write(frame)
		require.NoError(t, err)
		return a.Counters()["UnknownPeer"] > 0
	})
	w.call(a, opening)
	first := <-w.arrivals
	require.Equal(t, caller, first.packet.Key.CallerAddrPort())
}

// A truncated packet, one for no service, and one whose claimed server isn't
// known are dropped, each under its own reason.
func TestDropsAreCountedByReason(t *testing.T) {
	w := newWorld(t, 1)
	a := w.start("a")
	raw, err := bronzewire.BuildTCP(nil, service, caller, bronzewire.SYN, callerSeq, 0, nil)
	require.NoError(t, err)
	for reason, packet := range map[string][]byte{
		"Malformed.Truncated": raw[:len(raw)-1],
		"Malformed.Version":   {0},
		"Drop.NoService":      raw,
	} {
		before := a.Counters()[reason]
		await(func() bool {
			_, err := w.fabric.WriteToUDPAddrPort(packet, a.EdgeAddress())
			require.NoError(t, err)
			return a.Counters()[reason] > before
		})
	}
}

// An operator who mistypes an address that is in use gets told which.
func TestNewNamesTheAddress(t *testing.T) {
	w := newWorld(t, 1)
	a := w.start("a")
	cfg := a.cfg
	cfg.HTTPAddress = a.HTTPAddress()
	cfg.ControlAddress, cfg.DataAddress, cfg.EdgeAddress = loopback, loopback, loopback
	_, err := New(cfg)
	require.ErrorContains(t, err, "HTTPAddress")
	_, err = New(Config{})
	var fault *FieldError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, "Name", fault.Field)
}
