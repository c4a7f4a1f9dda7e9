package bronzepool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

// Guards against openings that are refused while a server may have room: one that reports room or
// has not reported lately. Guards, too, against a load that grows for as long as servers refuse,
// and then keeps callers out long after there is room.
func TestSaturation(t *testing.T) {
	svc := newService(3)
	svc.Pool[2].Status = bronzeconf.Draining
	now := time.Unix(1000, 0)
	p := Pool{Now: func() time.Time { return now }}
	p.SetService(svc)
	report := func(i, connections int) { p.Observe(Report{Server: svc.Pool[i].ID, Connections: connections, At: now}) }
	requireLoad := func(want float64, why string) {
		t.Helper()
		load, full := p.Saturation()
		require.Equal(t, want > 0, full, why)
		require.InDelta(t, want, load, 1e-9, why)
	}
	report(0, 2000)
	requireLoad(0, "a server has not reported")
	report(1, 2000)
	requireLoad(1, "all are full")
	p.Refused(svc.Pool[0].ID, false)
	requireLoad(1+refusalLoad, "a server refused")
	now = now.Add(refusalHalfLife)
	requireLoad(1+refusalLoad/2, "a while ago")
	report(1, 1999)
	requireLoad(0, "a server has room")
	for range excludeAfterFails {
		now = now.Add(time.Hour)
		p.Refused(svc.Pool[1].ID, true)
	}
	report(0, 2000)
	requireLoad(1+refusalLoad, "the server with room fails openings")
	for range 1000 {
		p.Refused(svc.Pool[1].ID, true)
	}
	requireLoad(1+maxRefusalLoad, "many refusals")
	now = now.Add(saturationMaxAge + 1)
	requireLoad(0, "the reports are old")
}
