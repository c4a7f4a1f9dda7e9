package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzenode"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll measures polling servers for their reports over open connections.
// It reports the bytes in both directions, without those of TCP and IP. The time
// includes the server's part of the work.
func BenchmarkPoll(b *testing.B) {
	connections := 1234
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(&bronzenode.ServerReport{Connections: &connections})
	}))
	defer server.Close()
	for _, polls := range []int{1, 5, 10, 21} {
		b.Run(fmt.Sprintf("polls=%d", polls), func(b *testing.B) {
			var n atomic.Int64
			client := countedClient(&n)
			defer client.CloseIdleConnections()
			for b.Loop() {
				n.Store(0)
				for range polls {
					poll(b, client, server.URL)
				}
			}
			b.ReportMetric(float64(n.Load()), "B")
		})
	}
}

// countedClient returns a client that adds the bytes of its connections to n.
func countedClient(n *atomic.Int64) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		return countedConn{Conn: c, bytes: n}, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// poll requests and decodes one report, as a node does.
func poll(b *testing.B, client *http.Client, url string) {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, http.NoBody)
	require.NoError(b, err)
	res, err := client.Do(req)
	require.NoError(b, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	require.NoError(b, err)
	var report bronzenode.ServerReport
	require.NoError(b, json.Unmarshal(body, &report))
}
