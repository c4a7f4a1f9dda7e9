package bronzecore_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// A new configuration is put in force while an opening is decided on. If the
// service were looked up in the former configuration and its state in the new
// one, there would be no state and the node would crash.
func TestOpeningsDuringSnapshots(t *testing.T) {
	const services = 320
	b := &bronzecore.Balancer{Name: "vm-0"}
	first, second := benchSnapshot(services, services), benchSnapshot(services, services)
	b.SetSnapshot(first)
	var publishing sync.WaitGroup
	publishing.Go(func() {
		for range 100 {
			b.SetSnapshot(second)
			b.SetSnapshot(first)
		}
	})
	for i := range 50_000 {
		key := benchKey(i, services)
		out := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, nil)
		require.Equal(t, bronzecore.Forward, out[0].Kind, out[0].Reason)
		b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Reset}, nil)
	}
	publishing.Wait()
}
