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

// All nodes start at once after a power cut, and the first that has the records
// is asked by hundreds over a link of 10 Mbit/s. Those beyond a few are refused
// at once and ask another node; small differences are answered all the same.
func TestCopiesOfAllRecordsAreBounded(t *testing.T) {
	e := &Edge{counts: newCounters()}
	e.records.Apply(bronzerecord.Delta{Whole: true, To: 7, Changed: []bronzerecord.Record{{Name: "routes", Revision: 7}}})
	e.records.Apply(bronzerecord.Delta{From: 7, To: 8, Changed: []bronzerecord.Record{{Name: "routes", Revision: 8}}})
	askIn := func(epoch, since string) int {
		w := httptest.NewRecorder()
		query := url.Values{epochQuery: {epoch}, sinceQuery: {since}}
		e.answerRecords(w, httptest.NewRequest(http.MethodGet, recordsPath+"?"+query.Encode(), http.NoBody))
		return w.Code
	}
	ask := func(since string) int { return askIn("0", since) }
	require.Equal(t, http.StatusOK, ask("0"))
	e.fullCopies.Store(maxFullCopies)
	require.Equal(t, http.StatusServiceUnavailable, ask("0"))
	require.Equal(t, http.StatusOK, ask("7"))
	e.fullCopies.Store(maxFullCopies - 1)
	require.Equal(t, http.StatusOK, ask("0"))
	require.EqualValues(t, maxFullCopies-1, e.fullCopies.Load())
	require.Equal(t, http.StatusBadRequest, ask("soon"))
	require.Equal(t, http.StatusBadRequest, askIn("", "0"))
	require.Equal(t, http.StatusNoContent, ask("8"))
}

// Guards against deltas between two epochs, and against unbounded whole copies.
func TestNodesOfAnEarlierEpochGetAllRecords(t *testing.T) {
	e := &Edge{counts: newCounters()}
	e.records.Apply(bronzerecord.Delta{Epoch: 2, Whole: true, To: 7, Changed: []bronzerecord.Record{{Name: "routes", Revision: 7}}})
	server := httptest.NewServer(http.HandlerFunc(e.answerRecords))
	defer server.Close()
	asker := &Edge{fetchClient: server.Client()}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	d, err := asker.fetchRecords(address, bronzerecord.Position{Epoch: 1, Revision: 90})
	require.NoError(t, err)
	require.True(t, d.Whole)
	require.EqualValues(t, 2, d.Epoch)
	e.fullCopies.Store(maxFullCopies)
	_, err = asker.fetchRecords(address, bronzerecord.Position{Epoch: 1, Revision: 90})
	require.ErrorContains(t, err, "503")
}

// Guards against peers that keep what the store lost to themselves.
func TestPeersTellWhatTheStoreLost(t *testing.T) {
	e := &Edge{counts: newCounters()}
	server := httptest.NewServer(http.HandlerFunc(e.answerFormer))
	defer server.Close()
	asker := &Edge{fetchClient: server.Client()}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	var r bronzerecord.LostHistory
	require.ErrorContains(t, asker.get(address, formerPath, nil, &r), "204")

	e.records.Apply(bronzerecord.Delta{Epoch: 1, Whole: true, To: 7, Changed: []bronzerecord.Record{{Name: "routes", Revision: 7, Body: []byte("lost")}}})
	e.records.Apply(bronzerecord.Delta{Epoch: 2, Whole: true, To: 3})
	require.NoError(t, asker.get(address, formerPath, nil, &r))
	require.Equal(t, bronzerecord.Position{Epoch: 1, Revision: 7}, r.Former)
	require.Len(t, r.Lost, 1)
	require.Equal(t, "lost", string(r.Lost[0].Record.Body))
}
