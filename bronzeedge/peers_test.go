package bronzeedge

import (
	"net/http"
	"net/http/httptest"
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
	ask := func(since string) int {
		w := httptest.NewRecorder()
		e.answerRecords(w, httptest.NewRequest(http.MethodGet, recordsPath+"?"+sinceQuery+"="+since, http.NoBody))
		return w.Code
	}
	require.Equal(t, http.StatusOK, ask("0"))
	e.copies.Store(maxCopies)
	require.Equal(t, http.StatusServiceUnavailable, ask("0"))
	require.Equal(t, http.StatusOK, ask("7"))
	e.copies.Store(maxCopies - 1)
	require.Equal(t, http.StatusOK, ask("0"))
	require.EqualValues(t, maxCopies-1, e.copies.Load())
	require.Equal(t, http.StatusBadRequest, ask("soon"))
}
