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

// The names and bodies of records in these tests: a table's body is its version, a server's
// whether it drains and its sequence.
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

// deed is what a writer of the store wants it to hold of one name.
type deed struct {
	draining bool
	sequence uint64
}

// copied is what the store held at some moment.
type copied struct {
	revision uint64
	records  map[string]bronzerecord.Record
	removed  []bronzerecord.Removal
}

// drill is a store that comes back from copies, its writers, and two nodes.
type drill struct {
	epoch uint64
	copied
	copies []copied
	// version, zones and servers are what the writers have written last.
	version uint64
	zones   map[string]bool
	servers map[string]*deed
	// restoredAt is when the store last came back, the zero time if all was written again.
	restoredAt time.Time
	nodes      [2]*drillNode
	// begun counts the servers that have started.
	begun int
}

// drillNode is a node, and what it has known since its start.
type drillNode struct {
	edge    *Edge
	version uint64
	// left said that they leave, ended are those whose registrations were removed.
	left    map[string]bool
	ended   map[string]bool
	drained map[string]bool
}

func newDrill() *drill {
	d := &drill{zones: map[string]bool{}, servers: map[string]*deed{}, copied: copied{records: map[string]bronzerecord.Record{}}}
	d.publish()
	for i := range d.nodes {
		d.start(i)
	}
	return d
}

// start has a node start anew.
func (d *drill) start(i int) {
	if d.nodes[i] != nil {
		d.nodes[i].edge.log.Close()
	}
	e := &Edge{counts: newCounters(), log: NewLog(io.Discard), started: time.Now(), firstView: make(chan struct{})}
	e.adapter.Decoder = testDecoder()
	e.gossip.Records = &e.records
	e.records.OnChange = e.onRecords
	d.nodes[i] = &drillNode{edge: e, left: map[string]bool{}, ended: map[string]bool{}, drained: map[string]bool{}}
}

func (d *drill) stop() {
	for _, n := range d.nodes {
		n.edge.log.Close()
	}
}

func (d *drill) put(name, body string) {
	d.revision++
	d.records[name] = bronzerecord.Record{Name: name, Revision: d.revision, Created: d.revision, Body: []byte(body)}
}

func (d *drill) remove(name string) {
	d.revision++
	delete(d.records, name)
	d.removed = append(d.removed, bronzerecord.Removal{Name: name, Revision: d.revision})
}

func (d *drill) publish() {
	d.version++
	d.put(tableRecord, fmt.Sprint(d.version))
}

// register writes a server's registration.
func (d *drill) register(name string) {
	s := d.servers[name]
	s.sequence++
	d.put(serverPrefix+name, fmt.Sprint(s.draining, s.sequence))
}

// end has a server end; its registration goes with it.
func (d *drill) end(name string) {
	delete(d.servers, name)
	if _, ok := d.records[serverPrefix+name]; ok {
		d.remove(serverPrefix + name)
	}
}

func (d *drill) drain(zone string) {
	d.zones[zone] = true
	d.put(zonePrefix+zone, "")
}

func (d *drill) takeBack(zone string) {
	delete(d.zones, zone)
	if _, ok := d.records[zonePrefix+zone]; ok {
		d.remove(zonePrefix + zone)
	}
}

func (c *copied) clone() copied {
	return copied{revision: c.revision, records: maps.Clone(c.records), removed: slices.Clone(c.removed)}
}

// restore has the store come back from a copy.
func (d *drill) restore(i int) {
	d.epoch++
	d.copied = d.copies[i].clone()
	d.copies = d.copies[:i+1]
	d.restoredAt = time.Now()
}

// writeAgain has all writers write what the store doesn't hold, and lapse what has none.
func (d *drill) writeAgain() {
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
			d.drain(zone)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.servers)) {
		s := d.servers[name]
		if string(d.records[serverPrefix+name].Body) != fmt.Sprint(s.draining, s.sequence) {
			d.register(name)
		}
	}
}

// read brings a node to what the store holds.
func (d *drill) read(i int) {
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
	d.note(n)
}

// ask brings a node to what the other one knows, also of what the store lost.
func (d *drill) ask(i int) {
	n, peer := d.nodes[i], d.nodes[1-i]
	if delta, ok := peer.edge.records.Since(n.edge.records.Position()); ok {
		n.edge.records.Apply(delta)
	}
	if r, ok := peer.edge.records.LostHistory(); ok {
		n.edge.records.MergeLostHistory(r)
		d.tell(n, peer, r.Lost)
	}
	d.note(n)
}

// tell takes in what a node must know since a peer told it what the store lost.
func (d *drill) tell(n, peer *drillNode, lost []bronzerecord.LostRecord) {
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
			n.left[server] = n.left[server] || strings.HasPrefix(string(l.Record.Body), "true")
		case isZone:
			n.drained[zone] = n.drained[zone] || l.Absent
		default:
			var version uint64
			_, _ = fmt.Sscan(string(l.Record.Body), &version)
			n.version = max(n.version, version)
		}
	}
}

// note takes in what a node knows now.
func (d *drill) note(n *drillNode) {
	v := n.edge.steerer.View()
	if v == nil {
		return
	}
	n.version = max(n.version, v.Table.Version)
	for _, s := range v.Servers {
		if s.Draining {
			n.left[s.Instance] = true
		}
	}
	for _, zone := range v.DrainedZones {
		n.drained[zone] = true
	}
}

// check fails if a node goes by what it knew to be over.
func (d *drill) check(t require.TestingT) {
	for i, n := range d.nodes {
		v := n.edge.steerer.View()
		if v == nil {
			continue
		}
		require.GreaterOrEqual(t, v.Table.Version, n.version, "node %d went back to an older table", i)
		n.version = v.Table.Version
		for _, s := range v.Servers {
			serves := s.Status == bronzeroute.Serving
			require.False(t, n.ended[s.Instance] && serves, "node %d has %s serve again that ended", i, s.Instance)
			serves = serves || s.Status == bronzeroute.Missing
			require.False(t, n.left[s.Instance] && serves, "node %d has %s serve again that leaves", i, s.Instance)
		}
		maps.DeleteFunc(n.drained, func(zone string, drained bool) bool { return !drained || !d.zones[zone] })
		for zone := range n.drained {
			require.Contains(t, v.DrainedZones, zone, "node %d sends callers to a drained zone", i)
		}
	}
}

// pass lets time pass.
func (d *drill) pass(t time.Duration) {
	time.Sleep(t)
	for _, n := range d.nodes {
		n.edge.advanceDirectory(time.Now())
	}
}

// agree fails unless all nodes go by what the writers wrote last.
func (d *drill) agree(t require.TestingT) {
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

// failure is what first failed. It is caught where the paused clock ends, since rapid can't stop
// a test from within.
type failure struct{ text string }

// Errorf notes what failed.
func (f *failure) Errorf(format string, args ...any) { f.text = fmt.Sprintf(format, args...) }

// FailNow ends the run.
func (f *failure) FailNow() { panic(f) }

// catch ends a failed run.
func (f *failure) catch() {
	if r := recover(); r != nil && r != any(f) {
		panic(r)
	}
}

// drillStep is one thing that is done; Pick chooses what to.
type drillStep struct {
	Kind         string
	Pick         int
	Milliseconds int
}

// The kinds of steps.
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

func drawSteps(r *rapid.T) []drillStep {
	kinds := []string{
		stepPublish, stepBegin, stepBegin, stepLeave, stepLeave, stepEnd, stepDrain, stepTakeBack, stepCopy, stepCopy,
		stepRestore, stepRestore, stepRead, stepRead, stepRead, stepAsk, stepAsk, stepStart,
	}
	return rapid.SliceOfN(rapid.Custom(func(r *rapid.T) drillStep {
		return drillStep{
			Kind: rapid.SampledFrom(kinds).Draw(r, "Kind"), Pick: rapid.IntRange(0, 7).Draw(r, "Pick"),
			Milliseconds: rapid.IntRange(0, 500).Draw(r, "Milliseconds"),
		}
	}), 60, 200).Draw(r, "Steps")
}

// take does a step.
func (d *drill) take(s drillStep) {
	zone := string(rune('a' + s.Pick%2))
	node := s.Pick % len(d.nodes)
	switch names := slices.Sorted(maps.Keys(d.servers)); s.Kind {
	case stepPublish:
		d.publish()
	case stepBegin:
		// A server that ended never comes back under its name.
		d.begun++
		name := fmt.Sprintf("%s-%d", zone, d.begun)
		d.servers[name] = &deed{}
		d.register(name)
	case stepLeave:
		if len(names) > 0 {
			name := names[s.Pick%len(names)]
			d.servers[name].draining = true
			d.register(name)
		}
	case stepEnd:
		if len(names) > 0 {
			d.end(names[s.Pick%len(names)])
		}
	case stepDrain:
		d.drain(zone)
	case stepTakeBack:
		d.takeBack(zone)
	case stepCopy:
		d.copies = append(d.copies, d.clone())
	case stepRestore:
		if len(d.copies) > 0 {
			d.restore(max(0, len(d.copies)-1-s.Pick))
		}
	case stepRead:
		d.read(node)
	case stepAsk:
		d.ask(node)
	case stepStart:
		d.start(node)
	}
}

// settle has all written again and read.
func (d *drill) settle() {
	d.writeAgain()
	d.readAll()
}

func (d *drill) readAll() {
	for i := range d.nodes {
		d.read(i)
	}
}

// readWithin is how long after the store's return nodes read it, and writtenWithin how long
// after it all has been written again.
const (
	readWithin    = time.Second
	writtenWithin = 3 * time.Second
)

// run does the steps and checks after each.
func (d *drill) run(t require.TestingT, steps []drillStep) {
	for _, s := range steps {
		d.take(s)
		d.pass(time.Duration(s.Milliseconds) * time.Millisecond)
		switch away := time.Since(d.restoredAt); {
		case d.restoredAt.IsZero():
		case away >= writtenWithin:
			d.settle()
		case away >= readWithin:
			d.readAll()
		}
		d.check(t)
	}
	d.settle()
	d.pass(bronzerecord.LostRetention)
	d.pass(time.Second)
	d.check(t)
	d.agree(t)
}

// Guards against a copy that brings back what a node knew to be over, in any order of events.
func TestCopiesBringNothingBackThatWasOver(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		var failure failure
		synctest.Test(t, func(*testing.T) {
			d := newDrill()
			defer d.stop()
			defer failure.catch()
			d.run(&failure, steps)
		})
		require.Empty(r, failure.text)
	})
}
