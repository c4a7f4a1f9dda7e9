package bronzeflow

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Old and new versions run side by side during a rollout and must compute the
// same owner of a flow, so these numbers must never change.
func TestHashStability(t *testing.T) {
	caller := netip.MustParseAddrPort("198.51.100.7:40000")
	service := netip.MustParseAddrPort("192.0.2.10:443")
	k := NewKey(TCP, caller, service)
	require.Equal(t, uint64(0xd029f7508cf2ff68), k.Hash())
	require.Equal(t, uint64(0x28af8bebe003aa57), Mix(k.Hash(), 1))
	require.Equal(t, ServerID(0x4bc6f3b722a117eb), NewServerID("agency", "map-live-3"))
}

func TestKeyEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) netip.AddrPort {
			b := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, name)
			a, _ := netip.AddrFromSlice(b[:rapid.SampledFrom([]int{4, 16}).Draw(t, name+"Len")])
			return netip.AddrPortFrom(a.Unmap(), rapid.Uint16().Draw(t, name+"Port"))
		}
		caller, service := draw("caller"), draw("service")
		k := NewKey(UDP, caller, service)
		require.Equal(t, caller, k.CallerAddrPort())
		require.Equal(t, service, k.ServiceAddrPort())
		other := k
		other.Protocol = TCP
		require.NotEqual(t, k.Hash(), other.Hash())
	})
}
