package bronzetest

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

const (
	// readyInterval is how often the fabric asks a balancer whether it is
	// ready; deadAfter without an answer it stops choosing it, readyLag
	// after a refusal.
	readyInterval = 100 * time.Millisecond
	readyLag      = 200 * time.Millisecond
	deadAfter     = 500 * time.Millisecond
	// One packet in lateOneIn is held for up to lateBy, so that packets of
	// one flow overtake each other.
	lateOneIn = 50
	lateBy    = 5 * time.Millisecond
	// readers is how many goroutines read the fabric's egress socket.
	readers = 4
	// maxPacket is the longest datagram that the stand-ins read.
	maxPacket = 4096
	// socketBuffer is asked of the kernel for each stand-in's socket.
	socketBuffer = 4 << 20
)

// Fabric sprays every packet over the balancers by a random choice for each
// packet, and hands the balancers' replies to the callers.
type Fabric struct {
	// Ledger counts the packets.
	Ledger *Ledger

	in, out *net.UDPConn
	callers sync.Map // of bronzeflow.Key to func(segment)
	sides   atomic.Pointer[map[string]int]

	mu      sync.RWMutex
	targets []*target
	used    uint8
	split   map[string]int
	healed  time.Time
	random  *rand.Rand
}

// target is one balancer as the fabric sees it.
type target struct {
	name, zone, url string
	edge            netip.AddrPort
	mark            uint8
	usable          atomic.Bool
	stop            context.CancelFunc
}

// NewFabric opens the fabric's sockets on loopback and starts reading.
func NewFabric(ledger *Ledger, seed uint64) (f *Fabric, err error) {
	defer annotate(&err, "open fabric")
	f = &Fabric{Ledger: ledger, random: rand.New(rand.NewPCG(seed, 1))}
	if f.in, err = listen(); err != nil {
		return nil, err
	}
	if f.out, err = listen(); err != nil {
		return nil, err
	}
	for range readers {
		go f.read()
	}
	return f, nil
}

func listen() (conn *net.UDPConn, err error) {
	conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	// The kernel caps what it grants, so a refusal is no failure.
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// Close stops the fabric.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		t.stop()
	}
	_ = f.in.Close()
	_ = f.out.Close()
}

// Egress returns the address to which balancers send replies for callers.
func (f *Fabric) Egress() netip.AddrPort { return addrPort(f.out) }

func addrPort(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Add lets the fabric choose the balancer at edge as long as the HTTP server
// at url answers /readyz. With an empty url it is always chosen. When ctx is
// done the fabric no longer asks.
func (f *Fabric) Add(ctx context.Context, name, zone string, edge netip.AddrPort, url string) {
	ctx, stop := context.WithCancel(ctx)
	f.mu.Lock()
	f.used++
	t := &target{name: name, zone: zone, url: url, edge: edge, mark: f.used, stop: stop}
	t.usable.Store(url == "")
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	if url != "" {
		go t.watch(ctx)
	}
}

// Remove makes the fabric forget the balancers of that name.
func (f *Fabric) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make([]*target, 0, len(f.targets))
	for _, t := range f.targets {
		if t.name != name {
			kept = append(kept, t)
			continue
		}
		t.stop()
	}
	f.targets = kept
}

// watch keeps usable up to date, with the lag that a real fabric has.
func (t *target) watch(ctx context.Context) {
	client := http.Client{Timeout: deadAfter}
	answered := time.Now()
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		switch status := t.status(ctx, &client); {
		case status == http.StatusOK:
			answered = time.Now()
			t.usable.Store(true)
		case status != 0 && time.Since(answered) > readyLag, time.Since(answered) > deadAfter:
			t.usable.Store(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// status returns the HTTP status of /readyz, 0 if there is no answer.
func (t *target) status(ctx context.Context, client *http.Client) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url+"/readyz", http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Partition cuts the zones of different sides off from each other; nil heals.
func (f *Fabric) Partition(sides map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sides == nil {
		f.healed = time.Now()
		f.sides.Store(nil)
		return
	}
	f.split = sides
	f.sides.Store(&sides)
}

// Reachable reports whether packets pass between two zones.
func (f *Fabric) Reachable(a, b string) bool {
	sides := f.sides.Load()
	return sides == nil || (*sides)[a] == (*sides)[b]
}

// cutLately reports whether two zones are cut off, or were within d.
func (f *Fabric) cutLately(a, b string, d time.Duration) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	recent := f.sides.Load() != nil || time.Since(f.healed) < d
	return recent && f.split[a] != f.split[b]
}

// pick returns a usable balancer that zone can reach, and whether the packet
// is to be late.
func (f *Fabric) pick(zone string) (chosen *target, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.targets {
		if !t.usable.Load() || !f.Reachable(zone, t.zone) {
			continue
		}
		n++
		if f.random.IntN(n) == 0 {
			chosen = t
		}
	}
	if f.random.IntN(lateOneIn) == 0 {
		late = time.Duration(f.random.Int64N(int64(lateBy)))
	}
	return chosen, late
}

// spray sends s from a socket in zone to a balancer chosen at random.
func (f *Fabric) spray(from *net.UDPConn, zone string, s segment) {
	t, late := f.pick(zone)
	if t == nil {
		return
	}
	s.Mark = t.mark
	raw, err := s.marshal()
	if err != nil {
		return
	}
	write := func() { _, _ = from.WriteToUDPAddrPort(raw, t.edge) }
	if late > 0 {
		time.AfterFunc(late, write)
		return
	}
	write()
}

// send sprays a caller's packet.
func (f *Fabric) send(zone string, s segment) { f.spray(f.in, zone, s) }

// attach directs the replies of the flow to receive until detach.
func (f *Fabric) attach(key bronzeflow.Key, receive func(*target, segment)) {
	f.callers.Store(key, receive)
}

func (f *Fabric) detach(key bronzeflow.Key) { f.callers.Delete(key) }

// at returns the balancer with that edge address, nil if there is none.
func (f *Fabric) at(edge netip.AddrPort) *target {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, t := range f.targets {
		if t.edge == edge {
			return t
		}
	}
	return nil
}

// arrived counts a packet that came from the balancer at edge, which may be
// another than the one that it was sent to.
func (f *Fabric) arrived(edge netip.AddrPort, mark uint8) *target {
	t := f.at(edge)
	f.Ledger.Packets.Add(1)
	if t != nil && t.mark != mark {
		f.Ledger.Relayed.Add(1)
	}
	return t
}

func (f *Fabric) read() {
	buf := make([]byte, maxPacket)
	for {
		n, edge, err := f.out.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s, err := parseSegment(append([]byte(nil), buf[:n]...))
		if err != nil {
			f.Ledger.WrongAnswers.Add(1)
			continue
		}
		t := f.arrived(edge, s.Mark)
		receive, ok := f.callers.Load(bronzeflow.NewKey(s.Protocol, s.Dst, s.Src))
		if ok {
			receive.(func(*target, segment))(t, s)
		}
	}
}
