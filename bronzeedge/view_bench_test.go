package bronzeedge_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeedge"
	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/platform"
	"bronzeusher.example/bronzeusher/platform/standin"
)

// allRecords returns the records of 22 routes and the given number of servers, as read from
// a store.
func allRecords(t testing.TB, servers int) (d bronzerecord.Delta) {
	t.Helper()
	store := &standin.Store{PageSize: servers + 1}
	table := standin.Table{Version: 7}
	for i := range 22 {
		table.Routes = append(table.Routes, standin.Route{
			Name: fmt.Sprint(i), Service: netip.MustParseAddrPort(fmt.Sprintf("198.18.0.1:%d", 443+i)), Pool: "live", Idempotent: true,
		})
	}
	require.NoError(t, store.PutTable(table))
	for i := range servers {
		require.NoError(t, store.PutServer(standin.Server{
			Name: fmt.Sprintf("i-%010x", i*7919), Pool: "live", AvailabilityZone: "a", Slots: 2,
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1)),
		}))
	}
	server := httptest.NewServer(store)
	defer server.Close()
	p, err := platform.NewStore(strings.TrimPrefix(server.URL, "http://")).Source().Read(t.Context(), "", false)
	require.NoError(t, err)
	require.Len(t, p.Records, servers+1)
	return bronzerecord.Delta{Whole: true, To: p.Revision, Changed: p.Records}
}

// BenchmarkFirstView applies all records of 600 servers and writes the log, as a node does
// at its start while callers wait. With a log line for each server it took 6.0 ms, without
// 2.5 ms (one core of a shared machine). A node with a twentieth of a core takes 16 times
// as long.
func BenchmarkFirstView(b *testing.B) {
	d := allRecords(b, 600)
	for b.Loop() {
		bronzeedge.ApplyAll(platform.NewAdapter("127.0.0.1:1"), d, io.Discard)
	}
}

// BenchmarkRestored applies the records of a restored store, of which one in a hundred
// differs from before, and reports the bytes that a peer would be sent.
func BenchmarkRestored(b *testing.B) {
	for _, servers := range []int{600, 5100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d := allRecords(b, servers)
			restored := bronzerecord.Delta{Epoch: 1, Whole: true, To: d.To - uint64(servers/100), Changed: slices.Clone(d.Changed)}
			for i := 0; i < len(restored.Changed); i += 100 {
				restored.Changed[i].Revision = d.To + 1
			}
			for b.Loop() {
				b.StopTimer()
				sent, err := bronzeedge.ApplyRestored(platform.NewAdapter("127.0.0.1:1"), d, restored, func(apply func()) {
					b.StartTimer()
					apply()
					b.StopTimer()
				})
				require.NoError(b, err)
				b.ReportMetric(float64(len(sent)), "sent-B")
				b.StartTimer()
			}
		})
	}
}

// A node starts in a fleet of 600 servers. Its log must show when it was ready: with a line
// for each server, of which at most 512 can be pending, that line would be dropped.
func TestReadyLoggedInLargeFleet(t *testing.T) {
	var out bytes.Buffer
	bronzeedge.ApplyAll(platform.NewAdapter("127.0.0.1:1"), allRecords(t, 600), &out)
	require.Contains(t, out.String(), `"Message":"Ready"`)
	require.Contains(t, out.String(), `"Records":601`)
	require.LessOrEqual(t, strings.Count(out.String(), "\n"), 5)
}
