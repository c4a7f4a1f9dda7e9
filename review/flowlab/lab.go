package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bronzeusher.example/bronzeusher/platform/standin"
)

// lab is one run: the addresses, the processes and the record.
type lab struct {
	dir     string
	block   byte // the second byte of all addresses
	port    uint16
	ports   map[string]uint16
	store   standin.Store
	nodes   []*node
	hosts   []*host
	clients []*client
	flows   tracker

	// loss is the share of datagrams of flows that each leg loses.
	loss float64
	// probeTimeout is how long the router waits for a node's answer.
	probeTimeout time.Duration

	mu     sync.Mutex
	random *rand.Rand
	record *os.File
	start  time.Time
	broken []string
	counts map[string]int
}

func newLab(folder string, seed uint64) (l *lab, err error) {
	l = &lab{
		block: byte(16 + rand.IntN(200)), ports: map[string]uint16{}, counts: map[string]int{},
		random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), probeTimeout: 450 * time.Millisecond,
	}
	l.flows.byKey = map[flowKey]*openFlow{}
	if l.dir, err = os.MkdirTemp("", "flowlab"); err != nil {
		return nil, err
	}
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	for _, name := range []string{"data", "ready", "control", "peer", "store"} {
		if l.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	l.port = l.ports["data"]
	listener, err := net.Listen("tcp", netip.AddrPortFrom(l.address(4, 1), l.ports["store"]).String())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, &l.store) }()
	return l, nil
}

// freePort returns a port that is free for TCP and UDP on the loopback address.
func freePort() (port uint16, err error) {
	for range 100 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return 0, err
		}
		port = uint16(conn.LocalAddr().(*net.UDPAddr).Port)
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		_ = conn.Close()
		if err == nil {
			return port, listener.Close()
		}
	}
	return 0, fmt.Errorf("no free port")
}

// address returns the address of the i-th member of a group: 1 nodes, 2 clients, 3 hosts, 4 store.
func (l *lab) address(group, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.block, byte(group), byte(i)})
}

// note writes a line to the record.
func (l *lab) note(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.4f "+format+"\n", append([]any{time.Since(l.start).Seconds()}, a...)...)
}

// breaks notes that the rule was broken.
func (l *lab) breaks(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	l.note("BROKEN %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

func (l *lab) count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// lost reports whether the network loses a datagram.
func (l *lab) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < l.loss
}

// float returns a random number in [0,1).
func (l *lab) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// finish ends all processes, writes the totals and returns the exit code.
func (l *lab) finish() int {
	for _, n := range l.nodes {
		n.kill()
	}
	for name, n := range l.counts {
		l.note("total %s: %d", name, n)
	}
	l.note("rule broken: %d times", len(l.broken))
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
	fmt.Printf("rule broken %d times; totals %v\n", len(l.broken), l.counts)
	if len(l.broken) > 0 {
		return 1
	}
	return 0
}

// deployment is what a case runs: one zone with a service and a route to it.
type deployment struct {
	zone  string
	nodes int
	hosts int
	work  time.Duration
	route standin.Route
}

// setUp starts the stand-ins and the nodes, and waits until all nodes are in rotation.
func (l *lab) setUp(d deployment) (err error) {
	for range d.nodes {
		l.addNode(d.zone)
	}
	for range d.hosts {
		if err = l.addHost(d.route.Pool, d.zone, d.work); err != nil {
			return err
		}
	}
	if err = l.store.PutTable(standin.Table{Version: 7, IdleTimeout: 15 * time.Second, Routes: []standin.Route{d.route}}); err != nil {
		return err
	}
	for range 8 {
		if err = l.addClient(d.zone); err != nil {
			return err
		}
	}
	for _, n := range l.nodes {
		if err = n.run(); err != nil {
			return err
		}
	}
	l.routers()
	return l.waitReady()
}

// node is a bronzeedge process and its addresses.
type node struct {
	lab  *lab
	name string
	zone string
	addr netip.Addr

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	inRotation bool
	misses     int
	// disturbedAt is when the last unplanned disruption of the node ended.
	disturbedAt time.Time
}

// stable is the bound stable-ms.
const stable = 4 * time.Second

// inTouch reports whether the node has been without disruption for long enough.
func (n *node) inTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.disturbedAt) > stable
}

// addNode adds a node without starting it.
func (l *lab) addNode(zone string) {
	i := len(l.nodes) + 1
	l.nodes = append(l.nodes, &node{lab: l, name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, addr: l.address(1, i)})
}

// settings returns the settings file that the platform makes of the template of the deploy file.
func (n *node) settings() (text string, err error) {
	l := n.lab
	b, err := os.ReadFile("deploy/settings.tmpl")
	if err != nil {
		return "", err
	}
	zones := map[string]string{}
	var seeds []string
	for i, other := range l.nodes {
		zones[other.zone] = "riga"
		if i < 3 {
			seeds = append(seeds, netip.AddrPortFrom(other.addr, l.ports["control"]).String())
		}
	}
	for _, h := range l.hosts {
		zones[h.zone] = "riga"
	}
	at := func(port string) string { return netip.AddrPortFrom(n.addr, l.ports[port]).String() }
	text = string(b)
	for name, value := range map[string]any{
		"node-name": n.name, "region": "riga", "zone": n.zone, "zones": zones, "seeds": seeds,
		"listen.data-addr": at("data"), "listen.ready": at("ready"), "listen.control": at("control"),
		"platform.addr":    netip.AddrPortFrom(l.address(4, 1), l.ports["store"]).String(),
		"limits.memory-mb": 284, "bounds.grace-s": 6,
	} {
		encoded, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(encoded))
	}
	text = strings.ReplaceAll(text, "{{ip}}", n.addr.String())
	text = strings.ReplaceAll(text, "{{internal-ports.0}}", fmt.Sprint(l.ports["peer"]))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("unknown field in the template: %s", text)
	}
	return text, nil
}

// run starts the process with the command of the deploy file.
func (n *node) run() (err error) {
	text, err := n.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(n.lab.dir, n.name+".json")
	if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/bronzeedge")
	cmd.Env = append(os.Environ(), "BRONZEUSHER_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.lab.note("node %s: started, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		n.lab.note("node %s: ended: %v", n.name, err)
		n.mu.Lock()
		n.cmd = nil
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal and returns a channel that is closed when the process has ended.
func (n *node) signal(sig syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil
	}
	_ = n.cmd.Process.Signal(sig)
	return n.exited
}

func (n *node) kill() {
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// rollTerm stops the node with SIGTERM, as planned work, and starts it again.
func (n *node) rollTerm() (err error) {
	n.lab.note("node %s: SIGTERM", n.name)
	exited := n.signal(syscall.SIGTERM)
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		n.kill()
	}
	time.Sleep(200 * time.Millisecond)
	return n.run()
}

// probe is the router's question, asked twice a second, whether the node is ready.
func (n *node) probe(c *http.Client) {
	ok := false
	res, err := c.Get(fmt.Sprintf("http://%s%s", netip.AddrPortFrom(n.addr, n.lab.ports["ready"]), standin.ReadyPath))
	if err == nil {
		ok = res.StatusCode == http.StatusOK
		_ = res.Body.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.inRotation
	if ok {
		n.misses, n.inRotation = 0, true
	} else if n.misses++; n.misses >= 2 {
		n.inRotation = false
	}
	if before != n.inRotation {
		go n.lab.note("router: node %s in rotation: %v", n.name, n.inRotation)
	}
}

// routers probes all nodes until the end of the process.
func (l *lab) routers() {
	for _, n := range l.nodes {
		go func() {
			c := &http.Client{Timeout: l.probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			for range time.Tick(500 * time.Millisecond) {
				n.probe(c)
			}
		}()
	}
}

// waitReady waits until all nodes are in rotation.
func (l *lab) waitReady() error {
	for range 200 {
		ready := 0
		for _, n := range l.nodes {
			n.mu.Lock()
			if n.inRotation {
				ready++
			}
			n.mu.Unlock()
		}
		if ready == len(l.nodes) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("nodes are not ready")
}

// route returns the node for a packet of a flow from a zone: by a steady hash over the nodes of
// the zone that are in rotation, over all of them if that are fewer than half.
func (l *lab) route(zone string, key flowKey) *node {
	var all, ready []*node
	for _, n := range l.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		n.mu.Lock()
		if n.inRotation {
			ready = append(ready, n)
		}
		n.mu.Unlock()
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	var best *node
	var most uint64
	for _, n := range ready {
		if h := key.hash(n.name); best == nil || h > most {
			best, most = n, h
		}
	}
	return best
}
