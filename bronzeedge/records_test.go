package bronzeedge

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// lines returns the messages of the lines of a log.
func lines(t *testing.T, out string) (messages []string) {
	t.Helper()
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		var l struct{ Message string }
		require.NoError(t, json.Unmarshal([]byte(line), &l))
		messages = append(messages, l.Message)
	}
	return messages
}

// The store fails for a while and returns without changes. Since an answer without changes
// isn't logged, the log must show when the store was lost and regained; otherwise the
// failures would seem to last until the next change, possibly hours later.
func TestStoreLostAndRegainedLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLog(&out)
		e := &Edge{counts: newCounters(), log: l}
		e.gossip.Records = &e.records
		watched := bronzerecord.Event{Kind: bronzerecord.Watched}
		failed := bronzerecord.Event{Kind: bronzerecord.Failed, Err: errors.New("refused")}
		e.onStoreEvent(watched)
		e.onStoreEvent(failed)
		time.Sleep(700 * time.Millisecond)
		e.onStoreEvent(failed)
		time.Sleep(800 * time.Millisecond)
		e.onStoreEvent(watched)
		e.onStoreEvent(watched)
		l.Close()
		require.Equal(t, []string{"StoreLost", "Store", "Store", "StoreRegained"}, lines(t, out.String()))
		require.Contains(t, out.String(), `"AwayMS":1500,"Epoch":0,"FailedCalls":2`)
	})
}

// Guards against answers that are dropped, or not applied, without a trace in the log.
func TestStoreAnswerLogged(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(&out)
	e := &Edge{counts: newCounters(), log: l}
	e.gossip.Records = &e.records
	e.onStoreEvent(bronzerecord.Event{Kind: bronzerecord.Regressed, Delta: bronzerecord.Delta{Epoch: 2, To: 5}})
	l.Close()
	require.Contains(t, out.String(), `"AnsweredEpoch":2,"AnsweredRevision":5,"Applied":false`)
}
