package bronzeedge

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A node that is named as the only one is told of others later. Guards against a node that
// goes on taking itself for the only one, and gives cold servers all that they may get.
func TestReloadSeeds(t *testing.T) {
	self := netip.MustParseAddrPort("10.0.0.1:8166")
	e := &Edge{cfg: Config{ControlAddress: self, Seeds: []netip.AddrPort{self}}, log: NewLog(io.Discard), started: time.Now()}
	defer e.log.Close()
	require.True(t, e.hasNoOtherSeeds())
	e.Reload(Config{ControlAddress: self, Seeds: []netip.AddrPort{self, netip.MustParseAddrPort("10.0.0.2:8166")}}, nil)
	require.False(t, e.hasNoOtherSeeds())
	e.Reload(Config{ControlAddress: self, Seeds: []netip.AddrPort{self}}, nil)
	require.True(t, e.hasNoOtherSeeds())
}
