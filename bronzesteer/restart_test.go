package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// registerStart registers a start of the given server.
func (s *site) registerStart(server *bronzeroute.Server, startedAt time.Time) {
	restarted := *server
	restarted.StartedAt = startedAt
	s.directory.Register(restarted)
	s.node.SetView(s.directory.View())
}

// A server crashes and restarts with the same name and address. A caller with an idle flow
// whose requests must not be retried would notice only by losing the next one, so that the
// flow is ended. A flow opened after the restart, but before its registration, is kept.
func TestRestartEndsIdleFlows(t *testing.T) {
	s := newSite(t, 1)
	server := s.node.View().ByName("a-0")
	s.registerStart(server, s.now)
	before := s.serve(outline)
	s.advance(5 * time.Second)
	startedAt := s.now
	s.advance(time.Second)
	after := s.serve(outline)
	s.registerStart(server, startedAt)
	s.advance(200 * time.Millisecond)

	require.Len(t, s.endedFlows, 1)
	require.Equal(t, before.packet.Key, s.endedFlows[0].Packet.Key)
	require.Equal(t, ServerReborn, s.endedFlows[0].Reason)
	require.Equal(t, Forward, after.request().Kind)
	status := s.node.Servers(s.now)[0]
	require.Equal(t, 1, status.Flows)
	require.Equal(t, 1, status.Work)
}

// A server record that begins to include a start time must not count as a restart, which
// would end idle flows. The record may come from a newer release, or another writer had
// left the field out.
func TestRestartNotFromFirstStartTime(t *testing.T) {
	s := newSite(t, 1)
	server := s.node.View().ByName("a-0")
	c := s.serve(outline)
	s.advance(5 * time.Second)
	s.registerStart(server, s.now)
	s.advance(time.Second)
	require.Empty(t, s.endedFlows)
	require.Equal(t, Forward, c.request().Kind)
}

// The registration of an earlier start may arrive after that of a later one, whose flows
// must be kept.
func TestRestartIgnoresEarlierStart(t *testing.T) {
	s := newSite(t, 1)
	server := s.node.View().ByName("a-0")
	s.registerStart(server, s.now)
	c := s.serve(outline)
	s.registerStart(server, s.now.Add(-time.Hour))
	s.advance(time.Second)
	require.Empty(t, s.endedFlows)
	require.Equal(t, Forward, c.request().Kind)
}

// A server that was silent before its restart must not be avoided afterwards.
func TestRestartClearsAvoidance(t *testing.T) {
	s := newSite(t, 2)
	for _, server := range s.node.View().Servers {
		s.registerStart(server, s.now.Add(-time.Minute))
	}
	s.serve(live)
	stuck, _ := s.open(live)
	s.advance(200 * time.Millisecond)
	silent := stuck.server
	stuck.retransmit()
	require.True(t, s.status(silent.Instance).Avoided)
	s.registerStart(silent, s.now)
	require.False(t, s.status(silent.Instance).Avoided)
}

// status returns the node's status of a server.
func (s *site) status(instance string) ServerStatus {
	s.t.Helper()
	for _, status := range s.node.Servers(s.now) {
		if status.Instance == instance {
			return status
		}
	}
	require.Fail(s.t, "no such server", instance)
	return ServerStatus{}
}
