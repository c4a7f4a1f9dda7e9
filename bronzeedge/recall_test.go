package bronzeedge

import (
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// Names and bodies of the records in these tests. The body of a table is its version, that
// of a server whether it is draining, and its sequence.
const (
	tableRecord  = "table"
	zonePrefix   = "zone/"
	serverPrefix = "server/"
)

func testDecoder() Decoder {
	return Decoder{
		IsTable:     func(name string) bool { return name == tableRecord },
		ServerName:  func(name string) (string, bool) { return strings.CutPrefix(name, serverPrefix) },
		DrainedZone: func(name string) (string, bool) { return strings.CutPrefix(name, zonePrefix) },
		CheckDrain:  func(bronzerecord.Record) error { return nil },
		Table: func(r bronzerecord.Record) (t *bronzeroute.Table, err error) {
			t = &bronzeroute.Table{Routes: []bronzeroute.Route{{
				Service: netip.MustParseAddrPort("198.18.0.1:443"), Pools: []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}},
			}}}
			_, err = fmt.Sscan(string(r.Body), &t.Version)
			return t, err
		},
		Server: func(r bronzerecord.Record, now time.Time) (s bronzeroute.Server, err error) {
			instance := strings.TrimPrefix(r.Name, serverPrefix)
			s = bronzeroute.Server{
				BackendServer: bronzeconf.BackendServer{Instance: instance, AvailabilityZone: instance[:1]},
				Pool:          "live", RegisteredRevision: r.Created, ReceivedAt: now,
			}
			_, err = fmt.Sscan(string(r.Body), &s.Draining, &s.Sequence)
			return s, err
		},
	}
}

// serverState is what the store should hold of a server.
type serverState struct {
	draining bool
	sequence uint64
}

// storeContents is what the store holds at some moment.
type storeContents struct {
	revision uint64
	records  map[string]bronzerecord.Record
	removed  []bronzerecord.Removal
}

// deploymentModel models a store that is restored from backups, its writers, and two nodes.
type deploymentModel struct {
	epoch uint64
	storeContents
	backups []storeContents
	// version, zones and servers are what the writers wrote last.
	version uint64
	zones   map[string]bool
	servers map[string]*serverState
	// restoredAt is when the store was last restored, zero once everything has been written
	// again.
	restoredAt time.Time
	nodes      [2]*modelNode
	// startedServers counts the servers that have started.
	startedServers int
}

// modelNode is a node and what it has known since its start.
type modelNode struct {
	edge    *Edge
	version uint64
	// leaving are the servers that said they are leaving, ended those whose registrations
	// were removed.
	leaving map[string]bool
	ended   map[string]bool
	drained map[string]bool
}

func newDeploymentModel() *deploymentModel {
	d := &deploymentModel{zones: map[string]bool{}, servers: map[string]*serverState{}, storeContents: storeContents{records: map[string]bronzerecord.Record{}}}
	d.publishTable()
	for i := range d.nodes {
		d.startNode(i)
	}
	return d
}

// startNode starts or restarts a node, with no records.
func (d *deploymentModel) startNode(i int) {
	if d.nodes[i] != nil {
		d.nodes[i].edge.log.Close()
	}
	e := &Edge{counts: newCounters(), log: NewLog(io.Discard), started: time.Now(), firstView: make(chan struct{})}
	e.adapter.Decoder = testDecoder()
	e.gossip.Records = &e.records
	e.records.OnChange = e.onRecords
	d.nodes[i] = &modelNode{edge: e, leaving: map[string]bool{}, ended: map[string]bool{}, drained: map[string]bool{}}
}

func (d *deploymentModel) stop() {
	for _, n := range d.nodes {
		n.edge.log.Close()
	}
}

func (d *deploymentModel) put(name, body string) {
	d.revision++
	d.records[name] = bronzerecord.Record{Name: name, Revision: d.revision, Created: d.revision, Body: []byte(body)}
}

func (d *deploymentModel) remove(name string) {
	d.revision++
	delete(d.records, name)
	d.removed = append(d.removed, bronzerecord.Removal{Name: name, Revision: d.revision})
}

func (d *deploymentModel) publishTable() {
	d.version++
	d.put(tableRecord, fmt.Sprint(d.version))
}

// register writes a server's registration.
func (d *deploymentModel) register(name string) {
	s := d.servers[name]
	s.sequence++
	d.put(serverPrefix+name, fmt.Sprint(s.draining, s.sequence))
}

// endServer ends a server and removes its registration.
func (d *deploymentModel) endServer(name string) {
	delete(d.servers, name)
	if _, ok := d.records[serverPrefix+name]; ok {
		d.remove(serverPrefix + name)
	}
}

func (d *deploymentModel) drainZone(zone string) {
	d.zones[zone] = true
	d.put(zonePrefix+zone, "")
}

func (d *deploymentModel) undrainZone(zone string) {
	delete(d.zones, zone)
	if _, ok := d.records[zonePrefix+zone]; ok {
		d.remove(zonePrefix + zone)
	}
}

func (c *storeContents) clone() storeContents {
	return storeContents{revision: c.revision, records: maps.Clone(c.records), removed: slices.Clone(c.removed)}
}

// restore restores the store from a backup, in a new epoch.
func (d *deploymentModel) restore(i int) {
	d.epoch++
	d.storeContents = d.backups[i].clone()
	d.backups = d.backups[:i+1]
	d.restoredAt = time.Now()
}

// rewrite makes all writers write again what the store lacks, and removes records that no
// writer has.
func (d *deploymentModel) rewrite() {
	d.restoredAt = time.Time{}
	if string(d.records[tableRecord].Body) != fmt.Sprint(d.version) {
		d.put(tableRecord, fmt.Sprint(d.version))
	}
	for _, name := range slices.Sorted(maps.Keys(d.records)) {
		zone, isZone := strings.CutPrefix(name, zonePrefix)
		server, isServer := strings.CutPrefix(name, serverPrefix)
		if isZone && !d.zones[zone] || isServer && d.servers[server] == nil {
			d.remove(name)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		if _, ok := d.records[zonePrefix+zone]; !ok {
			d.drainZone(zone)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.servers)) {
		s := d.servers[name]
		if string(d.records[serverPrefix+name].Body) != fmt.Sprint(s.draining, s.sequence) {
			d.register(name)
		}
	}
}

// readStore updates a node's records from the store.
func (d *deploymentModel) readStore(i int) {
	n := d.nodes[i]
	p := n.edge.records.Position()
	delta := bronzerecord.Delta{Epoch: d.epoch, From: p.Revision, To: d.revision, Whole: p.IsZero() || p.Epoch != d.epoch}
	for _, r := range d.records {
		if delta.Whole || r.Revision > p.Revision {
			delta.Changed = append(delta.Changed, r)
		}
	}
	for _, r := range d.removed {
		if !delta.Whole && r.Revision > p.Revision {
			delta.Removed = append(delta.Removed, r)
		}
	}
	n.edge.records.Apply(delta)
	for _, r := range delta.Removed {
		if server, ok := strings.CutPrefix(r.Name, serverPrefix); ok && d.servers[server] == nil {
			n.ended[server] = true
		}
	}
	d.noteView(n)
}

// askPeer updates a node's records from the other node, including what the store lost.
func (d *deploymentModel) askPeer(i int) {
	n, peer := d.nodes[i], d.nodes[1-i]
	if delta, ok := peer.edge.records.Since(n.edge.records.Position()); ok {
		n.edge.records.Apply(delta)
	}
	if history, ok := peer.edge.records.LostHistory(); ok {
		n.edge.records.MergeLostHistory(history)
		d.noteLost(n, peer, history.Lost)
	}
	d.noteView(n)
}

// noteLost records what a node must know after a peer told it what the store lost.
func (d *deploymentModel) noteLost(n, peer *modelNode, lost []bronzerecord.LostRecord) {
	if n.edge.records.Position() != peer.edge.records.Position() {
		return
	}
	for _, l := range lost {
		name := l.Record.Name
		server, isServer := strings.CutPrefix(name, serverPrefix)
		zone, isZone := strings.CutPrefix(name, zonePrefix)
		switch {
		case l.Removed:
		case isServer:
			n.leaving[server] = n.leaving[server] || strings.HasPrefix(string(l.Record.Body), "true")
		case isZone:
			n.drained[zone] = n.drained[zone] || l.Absent
		default:
			var version uint64
			_, _ = fmt.Sscan(string(l.Record.Body), &version)
			n.version = max(n.version, version)
		}
	}
}

// noteView records what a node knows now.
func (d *deploymentModel) noteView(n *modelNode) {
	v := n.edge.steerer.View()
	if v == nil {
		return
	}
	n.version = max(n.version, v.Table.Version)
	for _, s := range v.Servers {
		if s.Draining {
			n.leaving[s.Instance] = true
		}
	}
	for _, zone := range v.DrainedZones {
		n.drained[zone] = true
	}
}

// check fails if a node forgets something that it has known: if it goes back to an older
// table, lets a server serve again that ended or is leaving, or doesn't keep a zone drained.
func (d *deploymentModel) check(t require.TestingT) {
	for i, n := range d.nodes {
		v := n.edge.steerer.View()
		if v == nil {
			continue
		}
		require.GreaterOrEqual(t, v.Table.Version, n.version, "node %d went back to an older table", i)
		n.version = v.Table.Version
		for _, s := range v.Servers {
			serves := s.Status == bronzeroute.Serving
			require.False(t, n.ended[s.Instance] && serves, "node %d lets %s serve again although it ended", i, s.Instance)
			serves = serves || s.Status == bronzeroute.Missing
			require.False(t, n.leaving[s.Instance] && serves, "node %d lets %s serve again although it is leaving", i, s.Instance)
		}
		maps.DeleteFunc(n.drained, func(zone string, drained bool) bool { return !drained || !d.zones[zone] })
		for zone := range n.drained {
			require.Contains(t, v.DrainedZones, zone, "node %d sends callers to a drained zone", i)
		}
	}
}

// advance lets time pass, in the nodes' directories, too.
func (d *deploymentModel) advance(t time.Duration) {
	time.Sleep(t)
	for _, n := range d.nodes {
		n.edge.advanceDirectory(time.Now())
	}
}

// checkConverged fails unless the views of all nodes match what the writers wrote last.
func (d *deploymentModel) checkConverged(t require.TestingT) {
	for _, n := range d.nodes {
		v := n.edge.steerer.View()
		require.Equal(t, d.version, v.Table.Version)
		require.ElementsMatch(t, slices.Collect(maps.Keys(d.zones)), v.DrainedZones)
		for name, s := range d.servers {
			got := v.ByName(name)
			require.NotNil(t, got, name)
			want := bronzeroute.Serving
			if s.draining || got.ZoneDrained {
				want = bronzeroute.Draining
			}
			require.Equal(t, want, got.Status, name)
		}
		for _, s := range v.Servers {
			require.Equal(t, d.servers[s.Instance] == nil, s.Status == bronzeroute.Gone, s.Instance)
		}
	}
}

// failure records the first failed assertion. It is recovered inside the synctest bubble,
// since rapid can't stop a test from there.
type failure struct{ text string }

// Errorf records the text of the failure.
func (f *failure) Errorf(format string, args ...any) { f.text = fmt.Sprintf(format, args...) }

// FailNow ends the run by a panic that catch recovers.
func (f *failure) FailNow() { panic(f) }

// catch recovers the panic of FailNow.
func (f *failure) catch() {
	if r := recover(); r != nil && r != any(f) {
		panic(r)
	}
}

// step is one event; Pick chooses the server, zone, node or backup that it concerns.
type step struct {
	Kind         string
	Pick         int
	Milliseconds int
}

// Kinds of steps. Begin, Leave and End concern a server, Drain and TakeBack a zone, Copy
// and Restore the store's backups, and Read, Ask and Start a node.
const (
	stepPublish  = "Publish"
	stepBegin    = "Begin"
	stepLeave    = "Leave"
	stepEnd      = "End"
	stepDrain    = "Drain"
	stepTakeBack = "TakeBack"
	stepCopy     = "Copy"
	stepRestore  = "Restore"
	stepRead     = "Read"
	stepAsk      = "Ask"
	stepStart    = "Start"
)

func drawSteps(r *rapid.T) []step {
	kinds := []string{
		stepPublish, stepBegin, stepBegin, stepLeave, stepLeave, stepEnd, stepDrain, stepTakeBack, stepCopy, stepCopy,
		stepRestore, stepRestore, stepRead, stepRead, stepRead, stepAsk, stepAsk, stepStart,
	}
	return rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom(kinds).Draw(r, "Kind"), Pick: rapid.IntRange(0, 7).Draw(r, "Pick"),
			Milliseconds: rapid.IntRange(0, 500).Draw(r, "Milliseconds"),
		}
	}), 60, 200).Draw(r, "Steps")
}

// apply carries out a step.
func (d *deploymentModel) apply(s step) {
	zone := string(rune('a' + s.Pick%2))
	node := s.Pick % len(d.nodes)
	switch names := slices.Sorted(maps.Keys(d.servers)); s.Kind {
	case stepPublish:
		d.publishTable()
	case stepBegin:
		// A server that ended never comes back under its name.
		d.startedServers++
		name := fmt.Sprintf("%s-%d", zone, d.startedServers)
		d.servers[name] = &serverState{}
		d.register(name)
	case stepLeave:
		if len(names) > 0 {
			name := names[s.Pick%len(names)]
			d.servers[name].draining = true
			d.register(name)
		}
	case stepEnd:
		if len(names) > 0 {
			d.endServer(names[s.Pick%len(names)])
		}
	case stepDrain:
		d.drainZone(zone)
	case stepTakeBack:
		d.undrainZone(zone)
	case stepCopy:
		d.backups = append(d.backups, d.clone())
	case stepRestore:
		if len(d.backups) > 0 {
			d.restore(max(0, len(d.backups)-1-s.Pick))
		}
	case stepRead:
		d.readStore(node)
	case stepAsk:
		d.askPeer(node)
	case stepStart:
		d.startNode(node)
	}
}

// settle has everything written again and read by all nodes.
func (d *deploymentModel) settle() {
	d.rewrite()
	d.readAll()
}

func (d *deploymentModel) readAll() {
	for i := range d.nodes {
		d.readStore(i)
	}
}

// readWithin is how long after a restore all nodes have read the store, and rewriteWithin
// how long after it everything has been written again.
const (
	readWithin    = time.Second
	rewriteWithin = 3 * time.Second
)

// run applies the steps, with a check after each.
func (d *deploymentModel) run(t require.TestingT, steps []step) {
	for _, s := range steps {
		d.apply(s)
		d.advance(time.Duration(s.Milliseconds) * time.Millisecond)
		switch elapsed := time.Since(d.restoredAt); {
		case d.restoredAt.IsZero():
		case elapsed >= rewriteWithin:
			d.settle()
		case elapsed >= readWithin:
			d.readAll()
		}
		d.check(t)
	}
	d.settle()
	d.advance(bronzerecord.LostRetention)
	d.advance(time.Second)
	d.check(t)
	d.checkConverged(t)
}

// Guards against a restored store that makes a node forget what it knew to be over, in any
// order of events.
func TestRestoredStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		var failure failure
		synctest.Test(t, func(*testing.T) {
			d := newDeploymentModel()
			defer d.stop()
			defer failure.catch()
			d.run(&failure, steps)
		})
		require.Empty(r, failure.text)
	})
}
