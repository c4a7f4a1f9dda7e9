package bronzeedge

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzegossip"
	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

const (
	// recordsPath answers what leads from the epoch and revision in the query to this
	// node's, as a bronzerecord.Delta in CBOR, compressed by gzip, or nothing
	// if this node doesn't know.
	recordsPath = "/records"
	// formerPath answers what this node remembers of earlier epochs of the store, as a
	// bronzerecord.Recollection in the same form, or nothing.
	formerPath = "/former"
	epochQuery = "Epoch"
	sinceQuery = "Since"
	// fetchTimeout bounds a fetch; all records of 5,100 servers are 1.5 MB.
	fetchTimeout = 1500 * time.Millisecond
	// maxFullCopies bounds the peers that get all records at a time. After a power
	// cut hundreds ask at once; answered all at once over a slow link none has
	// its answer before it gives up, and all ask again. Those refused ask
	// whoever they hear of next, and by then there are more that can answer.
	maxFullCopies = 3
	// maxRecords bounds what a peer may answer, in bytes.
	maxRecords = 16 << 20
)

// connectPeers sets the gossip up.
func (e *Edge) connectPeers() {
	e.fetchClient = &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	public := e.cfg.PeerPublicAddress
	if !public.IsValid() {
		public = e.cfg.PeerAddress
	}
	g := &e.gossip
	g.Self = bronzegossip.Peer{
		Name:             e.cfg.Name,
		Incarnation:      uint64(e.started.UnixMilli()),
		Address:          public,
		Records:          e.cfg.ControlAddress,
		AvailabilityZone: e.cfg.AvailabilityZone,
	}
	g.Seeds = e.peerAddresses(e.cfg.Seeds)
	g.Records = &e.records
	g.Send = e.sendPeer
	g.Fetch = e.fetch
	g.FetchLostHistory = e.fetchFormer
	g.OnPeer = e.onPeer
	g.Count = e.count
	g.Loads = e.loads
	g.OnLoads = e.onLoads
	g.Reports = e.reports
	g.OnReports = e.onReports
	e.steerer.Name = e.cfg.Name
	e.steerer.Node = uint32(xxhash.Sum64String(e.cfg.Name))
}

// loadScale is how many of a message's units make one request a second.
const loadScale = 10

func (e *Edge) loads() (out []bronzegossip.Load, latencies []uint32) {
	loads := e.steerer.Loads()
	out = make([]bronzegossip.Load, len(loads))
	latencies = make([]uint32, len(loads))
	for i, l := range loads {
		out[i] = bronzegossip.Load{Server: l.Server, Rate: uint32(l.Rate*loadScale + 0.5)}
		latencies[i] = uint32(l.Latency.Milliseconds())
	}
	return out, latencies
}

func (e *Edge) onLoads(from string, loads []bronzegossip.Load, latencies []uint32, now time.Time) {
	in := make([]bronzesteer.Load, len(loads))
	for i, l := range loads {
		in[i] = bronzesteer.Load{Server: l.Server, Rate: float64(l.Rate) / loadScale}
		if i < len(latencies) {
			in[i].Latency = time.Duration(latencies[i]) * time.Millisecond
		}
	}
	e.steerer.SetLoads(from, in, now)
	e.steerer.SetPeerCount(e.gossip.PeerCount(now))
}

func (e *Edge) reports(all bool, now time.Time) (out []bronzegossip.Report) {
	for _, r := range e.steerer.Reports(all, now) {
		report := bronzegossip.Report{
			Server: r.Server, Node: r.Node, Openings: uint16(min(r.Openings, math.MaxUint16)),
			Requests: uint16(min(r.Requests, math.MaxUint16)),
			FirstMS:  uint32(r.First.Milliseconds()), LastMS: uint32(r.Last.Milliseconds()),
		}
		if r.SameZone {
			report.Flags |= bronzegossip.ReportNear
		}
		if r.Answered {
			report.Flags |= bronzegossip.ReportAnswered
		}
		out = append(out, report)
	}
	return out
}

func (e *Edge) onReports(reports []bronzegossip.Report, now time.Time) {
	in := make([]bronzesteer.Report, len(reports))
	for i, r := range reports {
		in[i] = bronzesteer.Report{
			Server: r.Server, Node: r.Node, Openings: int(r.Openings), Requests: int(r.Requests),
			SameZone: r.Flags&bronzegossip.ReportNear != 0, Answered: r.Flags&bronzegossip.ReportAnswered != 0,
			First: time.Duration(r.FirstMS) * time.Millisecond, Last: time.Duration(r.LastMS) * time.Millisecond,
		}
	}
	e.steerer.MergeReports(in, now)
}

// tellReports tells other nodes what this one has found of servers, if there is news.
func (e *Edge) tellReports(now time.Time) {
	if e.steerer.HasNewReports() {
		e.gossip.SpreadReports(now)
	}
}

// peerAddresses returns where the nodes at the given control addresses take
// datagrams.
func (e *Edge) peerAddresses(control []netip.AddrPort) (addresses []netip.AddrPort) {
	for _, a := range control {
		addresses = append(addresses, netip.AddrPortFrom(a.Addr(), e.cfg.PeerAddress.Port()))
	}
	return addresses
}

// reads reports whether this node is to read the store now, and logs when that
// changes.
func (e *Edge) reads() bool {
	e.detectPause()
	now := time.Now()
	reads := e.gossip.ShouldRead(now)
	if e.wasReading.Swap(reads) != reads {
		p := e.records.Position()
		e.log.Line("ReadsStore", Fields{
			"Reads": reads, "Epoch": p.Epoch, "Revision": p.Revision, "ConfirmedMS": e.gossip.SinceConfirmed(now).Milliseconds(),
			"Peers": e.gossip.PeerCount(now),
		})
	}
	return reads
}

// tellNear tells the decisions which other nodes there are in this node's zone, where cold
// servers are shared among them.
func (e *Edge) tellNear(now time.Time) {
	v := e.steerer.View()
	if v == nil || len(v.Table.Warmups) == 0 {
		return
	}
	names, others := e.gossip.KnownPeers(e.cfg.AvailabilityZone)
	e.steerer.SetZonePeers(names, others > 0 || e.joinsNobody(), now)
}

// joinsNobody reports whether the settings name no other node to join.
func (e *Edge) joinsNobody() bool {
	e.cfgMu.Lock()
	defer e.cfgMu.Unlock()
	for _, seed := range e.cfg.Seeds {
		if seed.Addr() != e.cfg.ControlAddress.Addr() {
			return false
		}
	}
	return true
}

func (e *Edge) onPeer(p bronzegossip.Peer, event string) {
	e.log.Line("Peer"+event, Fields{"Peer": p.Name, "AvailabilityZone": p.AvailabilityZone, "Address": p.Address.String()})
}

// sendPeer sends a message, unless the node stood still since it was put together: it says
// how old things are.
func (e *Edge) sendPeer(to netip.AddrPort, b []byte) {
	if e.pauses.wasInterrupted(time.Now()) {
		e.count("PeerNotSentLate")
		return
	}
	if _, err := e.peers.WriteToUDPAddrPort(b, to); err != nil {
		e.count("PeerSendFailed")
		return
	}
	e.counts.sent.add(len(b))
}

// readPeers handles other nodes' datagrams until the socket is closed.
func (e *Edge) readPeers(ctx context.Context) {
	b := make([]byte, 1<<16)
	for ctx.Err() == nil {
		n, _, err := e.peers.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.count("PeerReadFailed")
			continue
		}
		e.counts.received.add(n)
		e.detectPause()
		if e.dropOldMessages() {
			continue
		}
		now := time.Now()
		e.gossip.Handle(b[:n], now)
		e.tellReports(now)
	}
}

// fetch brings this node's records to where a peer's are, one fetch at a time.
func (e *Edge) fetch(peer bronzegossip.Peer, since bronzerecord.Position) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		begun := time.Now()
		d, err := e.fetchRecords(peer.Records, since)
		fields := Fields{
			"Peer": peer.Name, "FromEpoch": since.Epoch, "From": since.Revision, "Epoch": d.Epoch, "To": d.To,
			"Changed": len(d.Changed), "Removed": len(d.Removed), "TookMS": time.Since(begun).Milliseconds(),
		}
		if err != nil {
			fields["Error"] = err.Error()
		}
		e.log.Line("Fetched", fields)
		if err == nil && e.records.Apply(d) {
			e.gossip.Spread(d, time.Now())
		}
	}()
}

// fetchFormer has a peer tell what it remembers of earlier epochs of the store.
func (e *Edge) fetchFormer(peer bronzegossip.Peer) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		var r bronzerecord.LostHistory
		err := e.get(peer.Records, formerPath, nil, &r)
		fields := Fields{
			"Peer": peer.Name, "Epoch": r.Epoch, "FormerEpoch": r.Former.Epoch, "FormerRevision": r.Former.Revision,
			"Lost": len(r.Lost),
		}
		if err != nil {
			fields["Error"] = err.Error()
		}
		e.log.Line("FetchedFormer", fields)
		if err == nil {
			e.records.MergeLostHistory(r)
		}
	}()
}

func (e *Edge) fetchRecords(from netip.AddrPort, since bronzerecord.Position) (d bronzerecord.Delta, err error) {
	query := url.Values{
		epochQuery: {strconv.FormatUint(since.Epoch, 10)},
		sinceQuery: {strconv.FormatUint(since.Revision, 10)},
	}
	err = e.get(from, recordsPath, query, &d)
	return d, err
}

// get asks a peer for something in compressed CBOR.
func (e *Edge) get(from netip.AddrPort, path string, query url.Values, v any) (err error) {
	defer func() { err = errors.Wrapf(err, "fetch %s from %s", path, from) }()
	address := url.URL{Scheme: "http", Host: from.String(), Path: path, RawQuery: query.Encode()}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return err
	}
	res, err := e.fetchClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	unzip, err := gzip.NewReader(res.Body)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(io.LimitReader(unzip, maxRecords))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}

func (e *Edge) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+recordsPath, e.answerRecords)
	mux.HandleFunc("GET "+formerPath, e.answerFormer)
	return mux
}

// answerRecords answers a peer's fetch.
func (e *Edge) answerRecords(w http.ResponseWriter, r *http.Request) {
	since, err := positionOf(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if since.IsZero() || since.Epoch != e.records.Position().Epoch {
		if e.fullCopies.Add(1) > maxFullCopies {
			e.fullCopies.Add(-1)
			e.count("CopyRefused")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer e.fullCopies.Add(-1)
	}
	d, ok := e.records.Since(since)
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, err := e.deltas.delta(d)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.sendRecords(w, b)
}

// answerFormer answers a peer that knows less of earlier epochs than this node.
func (e *Edge) answerFormer(w http.ResponseWriter, _ *http.Request) {
	r, ok := e.records.LostHistory()
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, err := zip(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.sendRecords(w, b)
}

func (e *Edge) sendRecords(w http.ResponseWriter, b []byte) {
	if _, err := w.Write(b); err != nil {
		e.count("RecordsNotSent")
	}
}

// positionOf returns where the records of the node that asks are.
func positionOf(query url.Values) (p bronzerecord.Position, err error) {
	if p.Epoch, err = strconv.ParseUint(query.Get(epochQuery), 10, 64); err != nil {
		return p, errors.Errorf("%s: %q is not an epoch", epochQuery, query.Get(epochQuery))
	}
	if p.Revision, err = strconv.ParseUint(query.Get(sinceQuery), 10, 64); err != nil {
		return p, errors.Errorf("%s: %q is not a revision", sinceQuery, query.Get(sinceQuery))
	}
	return p, nil
}

// zipped keeps the last delta that was sent, compressed: when the routes
// change several peers ask for the same one at once.
type zipped struct {
	mu       sync.Mutex
	from, to bronzerecord.Position
	body     []byte
}

// delta returns d, compressed. What an earlier epoch of the store had changes with time, so that
// a delta with it isn't kept.
func (z *zipped) delta(d bronzerecord.Delta) (b []byte, err error) {
	if d.Recollection != nil {
		return zip(d)
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	from := bronzerecord.Position{Epoch: d.Epoch, Revision: d.From}
	to := bronzerecord.Position{Epoch: d.Epoch, Revision: d.To}
	if z.body != nil && z.from == from && z.to == to {
		return z.body, nil
	}
	if b, err = zip(d); err != nil {
		return nil, err
	}
	z.from, z.to, z.body = from, to, b
	return b, nil
}

// zip returns v as compressed CBOR. Routes are alike, so 1,200 of them take a
// tenth of their 170 KB, which would fill a link of 10 Mbit/s for a seventh of
// a second.
func zip(v any) (b []byte, err error) {
	plain, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(plain); err != nil {
		return nil, err
	}
	if err = w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
