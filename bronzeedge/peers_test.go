package bronzeedge

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// All nodes start at once after a power cut, and hundreds of them ask the first one that
// has the records, over a link of 10 Mbit/s. Requests for all records beyond a few are
// refused at once, so that their senders ask another node; small deltas are still served.
func TestFullCopiesBounded(t *testing.T) {
	e := &Edge{counts: newCounters()}
	e.records.Apply(bronzerecord.Delta{Whole: true, To: 7, Changed: []bronzerecord.Record{{Name: "routes", Revision: 7}}})
	e.records.Apply(bronzerecord.Delta{From: 7, To: 8, Changed: []bronzerecord.Record{{Name: "routes", Revision: 8}}})
	statusInEpoch := func(epoch, since string) int {
		w := httptest.NewRecorder()
		query := url.Values{epochQuery: {epoch}, sinceQuery: {since}}
		e.serveRecords(w, httptest.NewRequest(http.MethodGet, recordsPath+"?"+query.Encode(), http.NoBody))
		return w.Code
	}
	status := func(since string) int { return statusInEpoch("0", since) }
	require.Equal(t, http.StatusOK, status("0"))
	e.fullCopies.Store(maxFullCopies)
	require.Equal(t, http.StatusServiceUnavailable, status("0"))
	require.Equal(t, http.StatusOK, status("7"))
	e.fullCopies.Store(maxFullCopies - 1)
	require.Equal(t, http.StatusOK, status("0"))
	require.EqualValues(t, maxFullCopies-1, e.fullCopies.Load())
	require.Equal(t, http.StatusBadRequest, status("soon"))
	require.Equal(t, http.StatusBadRequest, statusInEpoch("", "0"))
	require.Equal(t, http.StatusNoContent, status("8"))
}

// Guards against deltas between two epochs and against unbounded full copies.
func TestFetchRecordsEarlierEpoch(t *testing.T) {
	e := &Edge{counts: newCounters()}
	e.records.Apply(bronzerecord.Delta{Epoch: 2, Whole: true, To: 7, Changed: []bronzerecord.Record{{Name: "routes", Revision: 7}}})
	server := httptest.NewServer(http.HandlerFunc(e.serveRecords))
	defer server.Close()
	client := &Edge{fetchClient: server.Client()}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	d, err := client.fetchRecords(address, bronzerecord.Position{Epoch: 1, Revision: 90})
	require.NoError(t, err)
	require.True(t, d.Whole)
	require.EqualValues(t, 2, d.Epoch)
	e.fullCopies.Store(maxFullCopies)
	_, err = client.fetchRecords(address, bronzerecord.Position{Epoch: 1, Revision: 90})
	require.ErrorContains(t, err, "503")
}

// This node has read all records again, since the store had lost its history. A node that
// knows a Delta's Gaps gets the changes; another would keep servers that are gone, and must
// read the store itself.
func TestServeRecordsAcrossReload(t *testing.T) {
	e := &Edge{counts: newCounters()}
	e.records.Apply(bronzerecord.Delta{Whole: true, To: 7, Changed: []bronzerecord.Record{{Name: "routes", Revision: 7, Created: 7}}})
	e.records.Apply(bronzerecord.Delta{Whole: true, To: 9, Changed: []bronzerecord.Record{{Name: "routes", Revision: 9, Created: 7}}})
	server := httptest.NewServer(http.HandlerFunc(e.serveRecords))
	defer server.Close()
	client := &Edge{fetchClient: server.Client()}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	d, err := client.fetchRecords(address, bronzerecord.Position{Revision: 8})
	require.NoError(t, err)
	require.Equal(t, []bronzerecord.Gap{{From: 7, To: 9}}, d.Gaps)
	require.False(t, d.Whole)

	query := url.Values{epochQuery: {"0"}, sinceQuery: {"8"}}
	require.ErrorContains(t, client.getCBOR(address, recordsPath, query, &d), "204")
}

// Guards against peers that don't pass on what the store lost.
func TestServeLostHistory(t *testing.T) {
	e := &Edge{counts: newCounters()}
	server := httptest.NewServer(http.HandlerFunc(e.serveLostHistory))
	defer server.Close()
	client := &Edge{fetchClient: server.Client()}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	var history bronzerecord.LostHistory
	require.ErrorContains(t, client.getCBOR(address, lostHistoryPath, nil, &history), "204")

	e.records.Apply(bronzerecord.Delta{Epoch: 1, Whole: true, To: 7, Changed: []bronzerecord.Record{{Name: "routes", Revision: 7, Body: []byte("lost")}}})
	e.records.Apply(bronzerecord.Delta{Epoch: 2, Whole: true, To: 3})
	require.NoError(t, client.getCBOR(address, lostHistoryPath, nil, &history))
	require.Equal(t, bronzerecord.Position{Epoch: 1, Revision: 7}, history.Former)
	require.Len(t, history.Lost, 1)
	require.Equal(t, "lost", string(history.Lost[0].Record.Body))
}
