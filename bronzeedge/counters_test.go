package bronzeedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzesteer"
)

func TestCountersText(t *testing.T) {
	c := newCounters()
	c.decision(&bronzesteer.Decision{Kind: bronzesteer.End, Reason: bronzesteer.ServerSilent})
	c.event("Malformed")
	c.gauge("Revision", 7)
	c.openingTime.RecordDuration(30 * time.Millisecond)
	c.call("Watch", "503")
	c.sent.add(120)
	c.decisionTime.RecordDuration(3 * time.Microsecond)
	c.confirmationAge.RecordDuration(4 * time.Second)
	c.poolGauge("RoomLimit", "live", 1.5)
	text := string(c.text())
	require.Contains(t, text, "bronzeusher_RoomLimit{Pool=\"live\"} 1.5\n")
	require.Contains(t, text, "bronzeusher_Decisions{Kind=\"End\",Reason=\"ServerSilent\"} 1\n")
	require.Contains(t, text, "bronzeusher_Decisions{Kind=\"End\",Reason=\"NoRoute\"} 0\n")
	require.Contains(t, text, "bronzeusher_Events{Event=\"Malformed\"} 1\n")
	require.Contains(t, text, "bronzeusher_Revision 7\n")
	require.Contains(t, text, "bronzeusher_OpeningSeconds_bucket{le=\"0.02\"} 0\n")
	require.Contains(t, text, "bronzeusher_OpeningSeconds_bucket{le=\"0.05\"} 1\n")
	require.Contains(t, text, "bronzeusher_OpeningSeconds_count 1\n")
	require.Contains(t, text, "bronzeusher_StoreCalls{Call=\"Watch\",Outcome=\"503\"} 1\n")
	require.Contains(t, text, "bronzeusher_PeerBytes{Direction=\"Sent\"} 120\n")
	require.Contains(t, text, "bronzeusher_PeerMessages{Direction=\"Received\"} 0\n")
	require.Contains(t, text, "bronzeusher_DecisionSeconds_bucket{le=\"5e-06\"} 1\n")
	require.Contains(t, text, "bronzeusher_KnowledgeSeconds_bucket{le=\"3\"} 0\n")
	require.Contains(t, text, "bronzeusher_KnowledgeSeconds_bucket{le=\"5\"} 1\n")
}
