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
	// readyInterval is the time between two polls of a balancer's readiness.
	// The fabric stops choosing a balancer when its last 200 response is
	// unreadyTimeout ago and it responds otherwise, or deadTimeout ago and
	// it doesn't respond.
	readyInterval  = 100 * time.Millisecond
	unreadyTimeout = 200 * time.Millisecond
	deadTimeout    = 500 * time.Millisecond
	// One packet in delayOneIn is delayed by up to maxPacketDelay, so that
	// packets of one flow are reordered.
	delayOneIn     = 50
	maxPacketDelay = 5 * time.Millisecond
	// egressReaders is the number of goroutines that read the egress socket.
	egressReaders = 4
	// maxPacketBytes is the length of the longest datagram that the stand-ins
	// read.
	maxPacketBytes = 4096
	// socketBufferBytes is the receive buffer requested for each socket.
	socketBufferBytes = 4 << 20
)

// Fabric sends every packet to a randomly chosen balancer that is ready and
// reachable, and hands the balancers' replies to the callers.
type Fabric struct {
	// Ledger counts the packets.
	Ledger *Ledger

	callerConn, egressConn *net.UDPConn
	receivers              sync.Map // of bronzeflow.Key to func(segment)
	sides                  atomic.Pointer[map[string]int]

	mu            sync.RWMutex
	targets       []*target
	lastMark      uint8
	lastPartition map[string]int
	healedAt      time.Time
	random        *rand.Rand
}

// target is one balancer to which the fabric sends packets.
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
	if f.callerConn, err = listen(); err != nil {
		return nil, err
	}
	if f.egressConn, err = listen(); err != nil {
		return nil, err
	}
	for range egressReaders {
		go f.read()
	}
	return f, nil
}

func listen() (conn *net.UDPConn, err error) {
	conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	// The kernel may limit the buffer's size, so an error is not a failure.
	_ = conn.SetReadBuffer(socketBufferBytes)
	return conn, nil
}

// Close stops the fabric.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		t.stop()
	}
	_ = f.callerConn.Close()
	_ = f.egressConn.Close()
}

// Egress returns the address to which balancers send replies for callers.
func (f *Fabric) Egress() netip.AddrPort { return addrPort(f.egressConn) }

func addrPort(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Add adds the balancer at edge. The fabric chooses it as long as the HTTP
// server at url answers /readyz with status 200, or always if url is empty. It
// polls until ctx is done.
func (f *Fabric) Add(ctx context.Context, name, zone string, edge netip.AddrPort, url string) {
	ctx, stop := context.WithCancel(ctx)
	f.mu.Lock()
	f.lastMark++
	t := &target{name: name, zone: zone, url: url, edge: edge, mark: f.lastMark, stop: stop}
	t.usable.Store(url == "")
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	if url != "" {
		go t.pollReady(ctx)
	}
}

// Remove removes the balancers of that name.
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

// pollReady keeps usable up to date, with a delay as a real fabric has.
func (t *target) pollReady(ctx context.Context) {
	client := http.Client{Timeout: deadTimeout}
	answered := time.Now()
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		switch status := t.status(ctx, &client); {
		case status == http.StatusOK:
			answered = time.Now()
			t.usable.Store(true)
		case status != 0 && time.Since(answered) > unreadyTimeout, time.Since(answered) > deadTimeout:
			t.usable.Store(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// status returns the HTTP status of /readyz, or 0 if there is no response.
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

// Partition separates the zones of different sides from each other. nil ends
// the partition.
func (f *Fabric) Partition(sides map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sides == nil {
		f.healedAt = time.Now()
		f.sides.Store(nil)
		return
	}
	f.lastPartition = sides
	f.sides.Store(&sides)
}

// Reachable reports whether packets pass between two zones.
func (f *Fabric) Reachable(a, b string) bool {
	sides := f.sides.Load()
	return sides == nil || (*sides)[a] == (*sides)[b]
}

// recentlyPartitioned reports whether a partition separates two zones, or did
// within d.
func (f *Fabric) recentlyPartitioned(a, b string, d time.Duration) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	recent := f.sides.Load() != nil || time.Since(f.healedAt) < d
	return recent && f.lastPartition[a] != f.lastPartition[b]
}

// pickTarget returns a random usable balancer that is reachable from zone, or
// nil, and the delay of the packet.
func (f *Fabric) pickTarget(zone string) (chosen *target, delay time.Duration) {
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
	if f.random.IntN(delayOneIn) == 0 {
		delay = time.Duration(f.random.Int64N(int64(maxPacketDelay)))
	}
	return chosen, delay
}

// spray sends s from a socket in zone to a randomly chosen balancer.
func (f *Fabric) spray(from *net.UDPConn, zone string, s segment) {
	t, delay := f.pickTarget(zone)
	if t == nil {
		return
	}
	s.Mark = t.mark
	raw, err := s.marshal()
	if err != nil {
		return
	}
	write := func() { _, _ = from.WriteToUDPAddrPort(raw, t.edge) }
	if delay > 0 {
		time.AfterFunc(delay, write)
		return
	}
	write()
}

// send sprays a packet of a caller in zone.
func (f *Fabric) send(zone string, s segment) { f.spray(f.callerConn, zone, s) }

// attach registers receive for the replies of the flow until detach.
func (f *Fabric) attach(key bronzeflow.Key, receive func(*target, segment)) {
	f.receivers.Store(key, receive)
}

func (f *Fabric) detach(key bronzeflow.Key) { f.receivers.Delete(key) }

// targetAt returns the balancer with that edge address, or nil.
func (f *Fabric) targetAt(edge netip.AddrPort) *target {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, t := range f.targets {
		if t.edge == edge {
			return t
		}
	}
	return nil
}

// countArrival counts a packet that the balancer at edge delivered, and returns
// that balancer. The packet counts as relayed if it was sent to another one, as
// its mark tells.
func (f *Fabric) countArrival(edge netip.AddrPort, mark uint8) *target {
	t := f.targetAt(edge)
	f.Ledger.Packets.Add(1)
	if t != nil && t.mark != mark {
		f.Ledger.Relayed.Add(1)
	}
	return t
}

func (f *Fabric) read() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, edge, err := f.egressConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s, err := parseSegment(append([]byte(nil), buf[:n]...))
		if err != nil {
			f.Ledger.WrongAnswers.Add(1)
			continue
		}
		t := f.countArrival(edge, s.Mark)
		receive, ok := f.receivers.Load(bronzeflow.NewKey(s.Protocol, s.Dst, s.Src))
		if ok {
			receive.(func(*target, segment))(t, s)
		}
	}
}
