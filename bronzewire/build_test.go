package bronzewire

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

var (
	caller4  = netip.MustParseAddrPort("198.51.100.7:40000")
	service4 = netip.MustParseAddrPort("192.0.2.10:443")
	caller6  = netip.MustParseAddrPort("[2001:db8:1::7]:40000")
	service6 = netip.MustParseAddrPort("[2001:db8:2::10]:443")
)

func TestBuildTCPParses(t *testing.T) {
	for _, e := range [][2]netip.AddrPort{{caller4, service4}, {caller6, service6}} {
		raw, err := BuildTCP(nil, e[0], e[1], ACK|PSH, 5, 9, []byte("hello"))
		require.NoError(t, err)
		var r Parser
		var p bronzeflow.Packet
		require.NoError(t, r.FromCaller(raw, &p))
		require.Equal(t, bronzeflow.Packet{
			Key:     bronzeflow.NewKey(bronzeflow.TCP, e[0], e[1]),
			Kind:    bronzeflow.Data,
			Payload: 5,
			Echo:    9,
			Raw:     raw,
		}, p)
	}
}
