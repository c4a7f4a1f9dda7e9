package bronzenode

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzewire"
)

// Ranks are those of a naive sort, so exactly n nodes take each task.
func TestRanksAgainstSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 1, 12, rapid.ID[string]).Draw(t, "Names")
		key, n := rapid.Uint64().Draw(t, "Key"), rapid.IntRange(1, 3).Draw(t, "N")
		sorted := slices.Clone(names)
		slices.SortFunc(sorted, func(a, b string) int {
			return cmp.Or(cmp.Compare(rankScore(b, key), rankScore(a, key)), cmp.Compare(a, b))
		})
		for i, name := range sorted {
			require.Equal(t, i < n, isSelected(names, name, key, n), name)
		}
	})
}

// Whatever the bodies' lengths, the parts hold each of them once, in order,
// and none is over the bound unless one body alone is.
func TestSplitKeepsAllBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bodies []bronzeconf.StoredRecord
		lengths := rapid.SliceOfN(rapid.IntRange(0, maxRecordsBytes+1), 0, 6).Draw(t, "Lengths")
		for i, n := range lengths {
			bodies = append(bodies, bronzeconf.StoredRecord{Name: fmt.Sprint(i), Body: make([]byte, n)})
		}
		var names []string
		for _, part := range splitBodies(bodies) {
			size := 0
			for _, b := range part {
				names = append(names, b.Name)
				size += len(b.Body)
			}
			require.True(t, size <= maxRecordsBytes || len(part) == 1 || len(part[0].Body) == 0)
		}
		require.Len(t, names, len(bodies))
		for i := range names {
			require.Equal(t, bodies[i].Name, names[i])
		}
	})
}

// Callers see nothing for the length of the pause, and then late packets: the
// whole node stands still, and a second pause meanwhile changes nothing.
func TestGateHoldsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g gate
		g.wait()
		began := time.Now()
		g.closeFor(time.Second)
		g.closeFor(time.Hour)
		g.wait()
		require.Equal(t, time.Second, time.Since(began))
		g.closeFor(time.Hour)
		g.open()
		g.wait()
		require.Equal(t, time.Second, time.Since(began))
	})
}

// A report that travels in several loads is one report, or its server would
// seem to stand still; after the interval of the polls the same figures are
// news again.
func TestLoadsRepeatReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s sharedLoads
		load := &bronzelink.Load{Origin: "b", Reported: []bronzelink.LoadItem{{Server: 1, Count: 5}}}
		require.Len(t, s.freshReports(load, time.Second), 1)
		require.Empty(t, s.freshReports(load, time.Second))
		load.Reported[0].Count = 6
		require.Equal(t, 6, s.freshReports(load, time.Second)[0].Connections)
		time.Sleep(time.Second)
		require.Len(t, s.freshReports(load, time.Second), 1)
		s.forget("b")
		require.Len(t, s.freshReports(load, time.Second), 1)
	})
}

// A record's newest version has faults, so no peer has its body: the node
// asks for it a few times, and again only at the next revision.
func TestLackingAsksAFewTimes(t *testing.T) {
	var l missingRecords
	lacks := func(present []bronzeconf.RecordVersion) (names []string) {
		for _, v := range present {
			names = append(names, v.Name)
		}
		return names
	}
	require.False(t, l.shouldRequest(lacks))
	for revision := uint64(1); revision <= 2; revision++ {
		l.set(revision, []bronzeconf.RecordVersion{{Name: "map-live", Revision: revision}})
		l.set(revision, nil)
		for range maxMissingRequests {
			require.True(t, l.shouldRequest(lacks))
		}
		require.False(t, l.shouldRequest(lacks))
	}
}

func TestFetchReport(t *testing.T) {
	cases := []struct {
		status int
		body   string
		reason string
	}{
		{http.StatusOK, `{"Connections":7,"Leaving":true,"Slots":2}`, ""},
		{http.StatusOK, `{"Leaving":true}`, ""},
		{http.StatusOK, `{"Connections":-1}`, pollBody},
		{http.StatusOK, `<html>`, pollBody},
		{http.StatusServiceUnavailable, `{}`, pollStatus},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		report, reason, err := fetchReport(context.Background(), server.Client(), server.URL)
		require.Equal(t, c.reason, reason, c.body)
		require.Equal(t, c.reason != "", err != nil, c.body)
		require.Equal(t, c.reason == "", report.Leaving, c.body)
		server.Close()
		_, reason, err = fetchReport(context.Background(), server.Client(), server.URL)
		require.Error(t, err)
		require.Equal(t, pollRequest, reason)
	}
}

// A caller is told that its request was not run, and sends it elsewhere, where
// it runs a second time. Its opening carried the request, the server got it
// and went silent, and the node gave the flow up: it must answer with nothing
// that a refusal could be taken for. An opening without a request, and a
// packet of an established connection, may get a reset.
func TestAbortMakesNoClaim(t *testing.T) {
	cases := []struct {
		kind    bronzeflow.Kind
		flags   bronzewire.TCPFlags
		payload string
		answers int
	}{
		{bronzeflow.Open, bronzewire.SYN, "outline", 0},
		{bronzeflow.Open, bronzewire.SYN, "", 1},
		{bronzeflow.Data, bronzewire.ACK, "outline", 1},
	}
	for _, c := range cases {
		raw, err := bronzewire.BuildTCP(nil, caller, service, c.flags, callerSeq, 0, []byte(c.payload))
		require.NoError(t, err)
		w := worker{node: &Node{counters: newCounters()}}
		packet := bronzeflow.Packet{Kind: c.kind, Payload: len(c.payload), Raw: raw}
		w.actions = []bronzecore.Action{{Kind: bronzecore.Abort, Packet: packet, Reason: bronzecore.ServerSilent}}
		w.executeAll()
		require.Len(t, w.edge.batch, c.answers)
		require.Equal(t, uint64(1), w.node.counters.snapshot()["Abort.ServerSilent"])
	}
}

// Links between two zones go silent in a partition and stay so when it heals:
// what was written is lost, and a read ends only with the connection.
func TestCutLosesLinkForGood(t *testing.T) {
	cut := false
	n := &Node{cfg: Config{Partitioned: func(_, _ netip.AddrPort) bool { return cut }}}
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	n.control = server.Listener
	conn, err := n.dial(context.Background(), server.Listener.Addr().String())
	require.NoError(t, err)
	cut = true
	_, err = conn.Write([]byte("GET / HTTP/1.0\r\n\r\n"))
	require.NoError(t, err)
	cut = false
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	require.NoError(t, conn.Close())
	require.Error(t, <-read)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	cut = true
	_, err = n.dial(ctx, server.Listener.Addr().String())
	require.ErrorIs(t, err, context.Canceled)
}
