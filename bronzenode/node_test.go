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

// The fabric sends the opening to one node, the server's acceptance to another,
// and each further packet to either. The node that didn't place the flow has to
// ask the one that did, and the caller must see a single connection.
func TestFlowThroughTwoNodes(t *testing.T) {
	env := newTestEnv(t, 3)
	a := env.start("a")
	b := env.start("b", a)
	env.openFlow(a, b)
	env.makeRequest(b, a)
	env.makeRequest(a, b)
	env.makeRequest(b, b)
	require.Equal(t, http.StatusOK, env.getStatusCode(a, MetricsPath))
	require.Equal(t, http.StatusOK, env.getStatusCode(b, StatusPath))
	require.Equal(t, uint64(1), b.Revision(), "b has no platform, so its records must come from a")
}

// If every server that was tried refuses the opening, nothing ran, and the
// caller gets a reset and may try elsewhere.
func TestRefusedByAllServers(t *testing.T) {
	env := newTestEnv(t, 2)
	env.refuse = true
	a := env.start("a")
	env.waitFor(func() { env.sendFromCaller(a, opening) }, true, bronzeflow.Refuse, 0)
	counts := a.Counters()
	require.NotZero(t, counts["Retry.ServerRefused"])
	require.NotZero(t, counts["Refuse.ServerRefused"])
}

// The node that holds a flow leaves, as in a rollout. It must stop being ready,
// and tell the flow's new owner the pinned server before it ends, so that the
// flow continues.
func TestLeaveKeepsFlow(t *testing.T) {
	env := newTestEnv(t, 3)
	a := env.start("a")
	b := env.start("b", a)
	env.openFlow(a, b)
	env.makeRequest(a, b)
	remaining, err := a.Leave(context.Background())
	require.NoError(t, err)
	require.Equal(t, bronzecore.Remaining{}, remaining)
	require.False(t, a.Ready())
	_, err = a.Leave(context.Background())
	require.ErrorIs(t, err, ErrLeaving)
	env.makeRequest(b, b)
	require.True(t, b.Ready())
}

// The node that holds a flow dies without notice. The other one detects it,
// finds the flow's server by copies and by empty probes, and must never send
// the request to another server.
func TestKillKeepsFlow(t *testing.T) {
	env := newTestEnv(t, 3)
	a := env.start("a")
	b := env.start("b", a)
	env.openFlow(a, b)
	env.makeRequest(a, b)
	a.Kill()
	env.makeRequest(b, b)
}

// A process that is not a member may send a relayed packet to a node's data
// address, such as the new user of a dead node's address. If the node accepted
// it, a caller could get another's traffic. The node must drop the frame, so
// that the first packet at a server is the fabric's.
func TestFrameFromNonMember(t *testing.T) {
	env := newTestEnv(t, 1)
	a := env.start("a")
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
	env.sendFromCaller(a, opening)
	first := <-env.arrivals
	require.Equal(t, caller, first.packet.Key.CallerAddrPort())
}

// A truncated packet, one of an unknown IP version, and one for no service are
// dropped, each under its own reason.
func TestDropReasons(t *testing.T) {
	env := newTestEnv(t, 1)
	a := env.start("a")
	raw, err := bronzewire.BuildTCP(nil, service, caller, bronzewire.SYN, callerSeq, 0, nil)
	require.NoError(t, err)
	for reason, packet := range map[string][]byte{
		"Malformed.Truncated": raw[:len(raw)-1],
		"Malformed.Version":   {0},
		"Drop.NoService":      raw,
	} {
		before := a.Counters()[reason]
		await(func() bool {
			_, err := env.fabric.WriteToUDPAddrPort(packet, a.EdgeAddress())
			require.NoError(t, err)
			return a.Counters()[reason] > before
		})
	}
}

// If an address is in use or a field is missing, the error names the field.
func TestNewErrorNamesField(t *testing.T) {
	env := newTestEnv(t, 1)
	a := env.start("a")
	cfg := a.cfg
	cfg.HTTPAddress = a.HTTPAddress()
	cfg.ControlAddress, cfg.DataAddress, cfg.EdgeAddress = loopback, loopback, loopback
	_, err := New(cfg)
	require.ErrorContains(t, err, "HTTPAddress")
	_, err = New(Config{})
	var fieldErr *FieldError
	require.ErrorAs(t, err, &fieldErr)
	require.Equal(t, "Name", fieldErr.Field)
}
