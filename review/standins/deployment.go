package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/platform/standin"
)

// The small deployment, as titik-hq: three zones with two nodes each, and the
// servers of two services.
const (
	region         = "klang-valley"
	nodesPerZone   = 2
	callersPerZone = 4
	flowsPerCaller = 20

	liveService  = "proofdesk"
	filesService = "printout"

	heartbeat    = 1200 * time.Millisecond
	idleTimeout  = 15 * time.Second
	graceSeconds = 6
	memoryMB     = 284

	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
	readyTimeout  = 15 * time.Second
	// settleTime is how long nothing is disrupted before a case begins, more than
	// stable-ms.
	settleTime = 9 * time.Second
	// minServed is the share of requests that must be served in any run. A run below
	// it says nothing.
	minServed = 0.9
)

var (
	zones        = []string{"shah-alam", "petaling", "cyberjaya"}
	liveServers  = []int{5, 5, 4}
	filesServers = []int{2, 1, 1}

	safeEndpoint   = netip.MustParseAddrPort("198.18.0.1:8443")
	unsafeEndpoint = netip.MustParseAddrPort("198.18.0.1:8080")
	filesEndpoint  = netip.MustParseAddrPort("198.18.0.2:8443")
)

// ports are the ports of a run. They are the same on all machines.
type ports struct{ data, ready, control, peer, metrics, server, store int }

// deployment is the nodes and the stand-ins of one run.
type deployment struct {
	rec     *record
	dir     string
	ports   ports
	store   *standin.Store
	http    *http.Server
	nodes   []*node
	servers []*server
	callers []*caller
	workers sync.WaitGroup
}

// node is a node under test.
type node struct {
	name, zone string
	ip         netip.Addr
	cmd        *exec.Cmd
	exited     chan struct{}
	storeLink  *storeLink

	mu     sync.Mutex
	misses int
}

func machineIP(zone, kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(20 + zone), byte(kind), byte(10 + i)})
}

// The third byte of the addresses of each kind of machine.
const (
	kindNode   = 0
	kindServer = 64
	kindCaller = 100
	kindStore  = 200
	kindOther  = 220
)

func newDeployment(rec *record) (d *deployment, err error) {
	d = &deployment{rec: rec, store: &standin.Store{}}
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if d.ports, err = freePorts(); err != nil {
		return nil, err
	}
	for z, zone := range zones {
		for i := range nodesPerZone {
			d.nodes = append(d.nodes, &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: machineIP(z, kindNode, i)})
		}
		for i := range liveServers[z] + filesServers[z] {
			service := liveService
			if i >= liveServers[z] {
				service = filesService
			}
			d.servers = append(d.servers, newServer(d, service, zone, machineIP(z, kindServer, i)))
		}
		for i := range callersPerZone {
			d.callers = append(d.callers, newCaller(d, zone, machineIP(z, kindCaller, i)))
		}
	}
	return d, nil
}

// freePorts returns ports that are free on the addresses that use them.
func freePorts() (p ports, err error) {
	for range 20 {
		base := 20000 + rand.IntN(10000)
		p = ports{data: base, ready: base + 1, control: base + 2, peer: base + 3, metrics: base + 4, server: base + 5, store: base + 6}
		if err = p.check(); err == nil {
			return p, nil
		}
	}
	return p, err
}

func (p *ports) check() error {
	for z := range zones {
		ip := machineIP(z, kindNode, 0)
		for _, port := range []int{p.ready, p.control, p.metrics, p.store} {
			l, err := net.Listen("tcp", netip.AddrPortFrom(ip, uint16(port)).String())
			if err != nil {
				return err
			}
			_ = l.Close()
		}
		for _, port := range []int{p.data, p.peer, p.server} {
			c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(port))))
			if err != nil {
				return err
			}
			_ = c.Close()
		}
	}
	return nil
}

// start starts everything and returns when all nodes are ready and traffic has run
// for settleTime.
func (d *deployment) start(ctx context.Context) (err error) {
	if err = d.startStore(); err != nil {
		return err
	}
	for _, s := range d.servers {
		if err = s.start(ctx); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if n.storeLink, err = newStoreLink(d.address(n.ip, d.ports.store), d.address(machineIP(0, kindStore, 0), d.ports.store)); err != nil {
			return err
		}
		if err = d.startNode(n); err != nil {
			return err
		}
		go d.probe(ctx, n)
	}
	if err = d.awaitReady(ctx); err != nil {
		return err
	}
	for _, c := range d.callers {
		if err = c.start(ctx); err != nil {
			return err
		}
	}
	return sleep(ctx, settleTime)
}

func (d *deployment) startStore() (err error) {
	address := netip.AddrPortFrom(machineIP(0, kindStore, 0), uint16(d.ports.store))
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	d.http = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.http.Serve(l) }()
	return d.putTable(4, true)
}

// putTable publishes a version of the configuration, with or without the route for files.
func (d *deployment) putTable(version uint64, files bool) error {
	routes := []standin.Route{
		{Name: "page-preview", Service: safeEndpoint, Pool: liveService, Idempotent: true, Objective: 200 * time.Millisecond, Priority: 2},
		{Name: "proof-correction", Service: unsafeEndpoint, Pool: liveService, Objective: 250 * time.Millisecond, Priority: 1},
	}
	if files {
		routes = append(routes, standin.Route{
			Name: "embosser-file", Service: filesEndpoint, Pool: filesService, Idempotent: true, Objective: 500 * time.Millisecond, Priority: 2,
		})
	}
	return d.store.PutTable(standin.Table{Version: version, IdleTimeout: idleTimeout, Routes: routes})
}

// placeholder is one in the template of the settings.
var placeholder = regexp.MustCompile(`\{\{([a-z.0-9-]+)(\|json)?\}\}`)

// settings fills in the template of the deploy file.
func (d *deployment) settings(n *node) (b []byte, err error) {
	template, err := os.ReadFile("deploy/settings.tmpl")
	if err != nil {
		return nil, err
	}
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = region
	}
	var seeds []string
	for z := range zones {
		seeds = append(seeds, d.address(machineIP(z, kindNode, 0), d.ports.control))
	}
	values := map[string]any{
		"node-name": n.name, "region": region, "zone": n.zone, "zones": regions, "ip": n.ip.String(), "seeds": seeds,
		"listen.data-addr": d.address(n.ip, d.ports.data), "listen.ready": d.address(n.ip, d.ports.ready),
		"listen.control":   d.address(n.ip, d.ports.control),
		"internal-ports.0": d.ports.peer, "platform.addr": d.address(n.ip, d.ports.store),
		"limits.memory-mb": memoryMB, "bounds.grace-s": graceSeconds,
	}
	return placeholder.ReplaceAllFunc(template, func(match []byte) []byte {
		parts := placeholder.FindSubmatch(match)
		value, known := values[string(parts[1])]
		if !known {
			err = fmt.Errorf("settings: no value for %s", match)
		}
		if len(parts[2]) == 0 {
			return fmt.Append(nil, value)
		}
		text, failed := json.Marshal(value)
		if failed != nil {
			err = failed
		}
		return text
	}), err
}

func (d *deployment) address(ip netip.Addr, port int) string {
	return netip.AddrPortFrom(ip, uint16(port)).String()
}

// startNode starts a node with the command of the deploy file. Its metrics port is
// fixed there; the node runs without metrics if another program has the port.
func (d *deployment) startNode(n *node) (err error) {
	settings, err := d.settings(n)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, n.name+".json")
	if err = os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/bronzeedge")
	n.cmd.Env = append(os.Environ(), "BRONZEUSHER_CONFIG="+path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = n.cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	n.exited = make(chan struct{})
	go func() {
		_ = n.cmd.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	return nil
}

// probe asks a node twice a second whether it is ready.
func (d *deployment) probe(ctx context.Context, n *node) {
	client := &http.Client{Timeout: probeInterval}
	url := "http://" + d.address(n.ip, d.ports.ready) + standin.ReadyPath
	for ctx.Err() == nil {
		ready := false
		if res, err := client.Get(url); err == nil {
			ready = res.StatusCode == http.StatusOK
			_ = res.Body.Close()
		}
		n.mu.Lock()
		if ready {
			n.misses = 0
		} else {
			n.misses++
		}
		n.mu.Unlock()
		_ = sleep(ctx, probeInterval)
	}
}

func (n *node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.misses < maxMisses
}

func (d *deployment) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: probeInterval}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range d.nodes {
		url := "http://" + d.address(n.ip, d.ports.ready) + standin.ReadyPath
		for {
			if res, err := client.Get(url); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			if err := sleep(ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	d.rec.add("all nodes are ready")
	return nil
}

// route returns the node to which the router sends a flow's packet now: by a hash
// over the nodes in rotation, or over all of the zone if fewer than half are.
func (d *deployment) route(zone string, key flowKey) *node {
	var all, ready []*node
	for _, n := range d.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if n.inRotation() {
			ready = append(ready, n)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	var best *node
	highest := uint64(0)
	for _, n := range ready {
		if h := xxhash.Sum64String(n.name + key.caller.String() + key.endpoint.String()); best == nil || h > highest {
			best, highest = n, h
		}
	}
	return best
}

// liveServersOf returns the first count servers of a service in a zone.
func (d *deployment) liveServersOf(service, zone string, count int) (list []*server) {
	for _, s := range d.servers {
		if s.service == service && s.zone == zone && len(list) < count {
			list = append(list, s)
		}
	}
	return list
}

// checkTraffic returns an error if too few requests were served for the run to say
// anything.
func (d *deployment) checkTraffic() error {
	served, failed := d.rec.outcomes()
	if float64(served) < minServed*float64(served+failed) || served == 0 {
		return fmt.Errorf("only %d of %d requests were served", served, served+failed)
	}
	return nil
}

// stop ends the nodes and the stand-ins and removes their files.
func (d *deployment) stop() {
	for _, c := range d.callers {
		c.close()
	}
	d.workers.Wait()
	for _, n := range d.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.exited
		}
		if n.storeLink != nil {
			n.storeLink.close()
		}
	}
	for _, s := range d.servers {
		s.leave()
	}
	if d.http != nil {
		_ = d.http.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
