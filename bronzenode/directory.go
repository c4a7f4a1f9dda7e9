package bronzenode

import (
	"net/netip"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// tunnels maps tunnel endpoints to the backend servers behind them. It is
// immutable and rebuilt for each snapshot.
type tunnels struct {
	snapshot *bronzeconf.Snapshot
	ids      map[netip.AddrPort][]bronzeflow.ServerID
}

func newTunnels(s *bronzeconf.Snapshot) *tunnels {
	t := &tunnels{snapshot: s, ids: make(map[netip.AddrPort][]bronzeflow.ServerID)}
	for _, svc := range s.Services {
		for i := range svc.Pool {
			b := &svc.Pool[i]
			t.ids[b.Address] = append(t.ids[b.Address], b.ID)
		}
	}
	return t
}

// address returns the tunnel endpoint of a server in the configuration.
func (t *tunnels) address(id bronzeflow.ServerID) (a netip.AddrPort, ok bool) {
	_, b, ok := t.snapshot.Server(id)
	if !ok {
		return netip.AddrPort{}, false
	}
	return b.Address, true
}

// members maps data addresses to the names of other nodes and back. It is
// immutable and rebuilt for each view.
type members struct {
	view      *bronzefleet.View
	names     map[netip.AddrPort]string
	addresses map[string]netip.AddrPort
}

func newMembers(v *bronzefleet.View) *members {
	m := &members{
		view:      v,
		names:     make(map[netip.AddrPort]string, len(v.Members)),
		addresses: make(map[string]netip.AddrPort, len(v.Members)),
	}
	for name := range v.Members {
		address, err := netip.ParseAddrPort(v.Members[name].DataAddress)
		if err != nil || name == v.Self {
			continue
		}
		m.names[address] = name
		m.addresses[name] = address
	}
	return m
}
