package bronzelink_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// BenchmarkMesh measures a heartbeat and its answer over one loopback link, both
// ends together, with and without TLS.
func BenchmarkMesh(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkMesh(b, func(string, *bronzelink.Mesh) {}) })
	b.Run("tls", func(b *testing.B) {
		ca := newAuthority(b)
		benchmarkMesh(b, func(name string, m *bronzelink.Mesh) { ca.issue(b, name)(m) })
	})
}

func benchmarkMesh(b *testing.B, adjust func(name string, m *bronzelink.Mesh)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	near := bronzelink.Member{Name: "riga-a-1"}
	far := bronzelink.Member{Name: "riga-b-1", ControlAddress: ln.Addr().String()}
	ack := &bronzelink.Message{HeartbeatAck: &bronzelink.HeartbeatAck{Sequence: 1, Digest: 1 << 63, Revision: 1000}}
	beat := &bronzelink.Message{Heartbeat: &bronzelink.Heartbeat{
		Sequence: 1, Digest: 1 << 63,
		Member: bronzelink.Member{Name: near.Name, Incarnation: 1 << 60, Status: bronzelink.Alive, Revision: 1000},
	}}
	answered := make(chan struct{}, 1)
	var client, server bronzelink.Mesh
	client.Self = func() bronzelink.Member { return near }
	client.OnMessage = func(string, *bronzelink.Message) { answered <- struct{}{} }
	server.Self = func() bronzelink.Member { return far }
	server.OnMessage = func(from string, _ *bronzelink.Message) { _ = server.Send(bronzelink.Member{Name: from}, ack) }
	adjust(near.Name, &client)
	adjust(far.Name, &server)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, ln) }()
	defer func() {
		require.NoError(b, client.Close())
		cancel()
		require.NoError(b, <-served)
		require.NoError(b, server.Close())
	}()
	require.NoError(b, client.Send(far, beat))
	<-answered
	before := client.BytesSent() + client.BytesReceived()
	b.ReportAllocs()
	for b.Loop() {
		_ = client.Send(far, beat)
		<-answered
	}
	b.ReportMetric(float64(client.BytesSent()+client.BytesReceived()-before)/float64(b.N), "wirebytes/op")
}
