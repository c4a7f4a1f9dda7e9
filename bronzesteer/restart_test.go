package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// start registers a start of the server that is given.
func (s *site) registerStart(server *bronzeroute.Server, born time.Time) {
	again := *server
	again.StartedAt = born
	s.directory.Register(again)
	s.node.SetView(s.directory.View())
}

// A server crashes and starts again under its name; its address answers as before. A
// caller has a flow there, idle, whose requests must not be repeated: it would learn
// only with its next request that the flow is no more, and that one would be lost. It
// is told before. A caller whose flow was opened when the new start was there, before
// its registration came, keeps it.
func TestRestartEndsIdleFlows(t *testing.T) {
	s := newSite(t, 1)
	server := s.node.View().ByName("a-0")
	s.registerStart(server, s.now)
	before := s.serve(outline)
	s.advance(5 * time.Second)
	born := s.now
	s.advance(time.Second)
	after := s.serve(outline)
	s.registerStart(server, born)
	s.advance(200 * time.Millisecond)

	require.Len(t, s.endings, 1)
	require.Equal(t, before.packet.Key, s.endings[0].Packet.Key)
	require.Equal(t, ServerReborn, s.endings[0].Reason)
	require.Equal(t, Forward, after.request().Kind)
	status := s.node.Servers(s.now)[0]
	require.Equal(t, 1, status.Flows)
	require.Equal(t, 1, status.Work)
}

// A server didn't tell when it started, and now it does: it is a newer release's entry, or
// another writer had left the field out. Taken for a new start, it would cost callers their
// idle flows.
func TestRestartNotFromFirstStartTime(t *testing.T) {
	s := newSite(t, 1)
	server := s.node.View().ByName("a-0")
	c := s.serve(outline)
	s.advance(5 * time.Second)
	s.registerStart(server, s.now)
	s.advance(time.Second)
	require.Empty(t, s.endings)
	require.Equal(t, Forward, c.request().Kind)
}

// The registration of an earlier start comes after that of a later one. Flows of the
// later start would be taken for lost.
func TestRestartIgnoresEarlierStart(t *testing.T) {
	s := newSite(t, 1)
	server := s.node.View().ByName("a-0")
	s.registerStart(server, s.now)
	c := s.serve(outline)
	s.registerStart(server, s.now.Add(-time.Hour))
	s.advance(time.Second)
	require.Empty(t, s.endings)
	require.Equal(t, Forward, c.request().Kind)
}

// A server was silent before it crashed, and is well since it has started again. New
// callers would keep away from it for seconds for what its earlier start did.
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

// status returns what the node believes of a server.
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
