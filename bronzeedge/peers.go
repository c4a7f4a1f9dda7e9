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
	// recordsPath serves the changes from the position in the query to this node's, as a
	// bronzerecord.Delta in gzipped CBOR. If this node has nothing newer, or no longer
	// knows the changes, the response is empty (204).
	recordsPath = "/records"
	// lostHistoryPath serves what this node remembers of earlier epochs of the store, as a
	// bronzerecord.LostHistory in the same encoding. If that is nothing, the response is
	// empty (204).
	lostHistoryPath = "/former"
	epochQuery      = "Epoch"
	sinceQuery      = "Since"
	// gapsQuery is set by nodes that know a Delta's Gaps.
	gapsQuery = "Gaps"
	// fetchTimeout bounds a fetch. All records of 5,100 servers take 1.5 MB.
	fetchTimeout = 1500 * time.Millisecond
	// maxFullCopies bounds the peers that are sent all records at the same time. After a
	// power cut hundreds of nodes ask at once. If all were served together over a slow
	// link, none would have its response before its timeout, and all would ask again. Nodes
	// that are refused ask the next peer that they hear of, and by then more peers have the
	// records.
	maxFullCopies = 3
	// maxResponseBytes bounds the decompressed size of a peer's response.
	maxResponseBytes = 16 << 20
)

// setUpGossip sets the gossip's callbacks and the fields of the gossip and the steerer that
// identify this node. It also creates the HTTP client for fetches.
func (e *Edge) setUpGossip() {
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
	g.Send = e.sendToPeer
	g.Fetch = e.fetch
	g.FetchLostHistory = e.fetchLostHistory
	g.OnPeer = e.onPeer
	g.Count = e.count
	g.OnDelay = e.counts.answerDelay.RecordDuration
	g.Loads = e.loads
	g.OnLoads = e.onLoads
	g.Sums = e.sums
	g.OnSums = e.onSums
	g.Reports = e.reports
	g.OnReports = e.onReports
	g.OnOpenings = e.onOpenings
	e.steerer.Name = e.cfg.Name
	e.steerer.Node = uint32(xxhash.Sum64String(e.cfg.Name))
}

// rateScale is the number of units in a message that stand for one request a second.
const rateScale = 10

func (e *Edge) loads() (out []bronzegossip.Load, latencies []uint32) {
	loads := e.steerer.Loads()
	out = make([]bronzegossip.Load, len(loads))
	latencies = make([]uint32, len(loads))
	for i, l := range loads {
		out[i] = bronzegossip.Load{Server: l.Server, Rate: uint32(l.Rate*rateScale + 0.5)}
		latencies[i] = uint32(l.Latency.Milliseconds())
	}
	return out, latencies
}

func (e *Edge) onLoads(from string, loads []bronzegossip.Load, latencies []uint32, now time.Time) {
	in := make([]bronzesteer.Load, len(loads))
	for i, l := range loads {
		in[i] = bronzesteer.Load{Server: l.Server, Rate: float64(l.Rate) / rateScale}
		if i < len(latencies) {
			in[i].Latency = time.Duration(latencies[i]) * time.Millisecond
		}
	}
	e.steerer.SetLoads(from, in, now)
	e.steerer.SetPeerCount(e.gossip.PeerCount(now))
}

func (e *Edge) sums(now time.Time) (out []bronzegossip.Sum) {
	for _, sum := range e.steerer.Demand(now) {
		out = append(out, bronzegossip.Sum{Pool: sum.Pool, Demand: uint32(sum.Rate*rateScale + 0.5)})
	}
	return out
}

func (e *Edge) onSums(from, zone string, sums []bronzegossip.Sum, now time.Time) {
	in := make([]bronzesteer.Sum, len(sums))
	for i, sum := range sums {
		in[i] = bronzesteer.Sum{Pool: sum.Pool, Rate: float64(sum.Demand) / rateScale}
	}
	e.steerer.SetDemand(from, zone, in, now)
}

// updateZoneNodes tells the steerer how many nodes are live in each zone, and which in its own.
func (e *Edge) updateZoneNodes(now time.Time) {
	counts := make(map[string]int)
	var names []string
	for _, p := range e.gossip.Peers(now) {
		counts[p.AvailabilityZone]++
		if p.AvailabilityZone == e.cfg.AvailabilityZone {
			names = append(names, p.Name)
		}
	}
	counts[e.cfg.AvailabilityZone]++
	e.steerer.SetZoneNodes(counts)
	e.steerer.SetLivePeers(names)
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

// announceOpenings tells the other nodes of the zone of openings that have stalled here.
func (e *Edge) announceOpenings(now time.Time) {
	stalled := e.steerer.StalledOpenings()
	if len(stalled) == 0 {
		return
	}
	out := make([]bronzegossip.Opening, len(stalled))
	for i, o := range stalled {
		out[i] = bronzegossip.Opening{Packet: o.Bytes, Tokens: o.Tokens}
	}
	e.gossip.SendOpenings(out, now)
}

func (e *Edge) onOpenings(openings []bronzegossip.Opening, now time.Time) {
	for _, o := range openings {
		p, err := e.adapter.Wire.Parse(o.Packet)
		if err != nil {
			e.count("Malformed")
			continue
		}
		p.Bytes = o.Packet
		e.steerer.MergeStalledOpening(&p, o.Tokens, now)
	}
	e.wakeReader()
}

// spreadReports tells other nodes of new findings about servers, if there are any.
func (e *Edge) spreadReports(now time.Time) {
	if e.steerer.HasNewReports() {
		e.gossip.SpreadReports(now)
	}
}

// peerAddresses returns the peer addresses of the nodes with the given control addresses.
func (e *Edge) peerAddresses(control []netip.AddrPort) (addresses []netip.AddrPort) {
	for _, a := range control {
		addresses = append(addresses, netip.AddrPortFrom(a.Addr(), e.cfg.PeerAddress.Port()))
	}
	return addresses
}

// readsStore reports whether this node should read the store now, and logs when that
// changes.
func (e *Edge) readsStore() bool {
	e.detectPause()
	now := time.Now()
	reads := e.gossip.ShouldRead(now)
	if e.wasReading.Swap(reads) != reads {
		p := e.records.Position()
		e.log.Line("ReadsStore", Fields{
			"Reads": reads, "Epoch": p.Epoch, "Revision": p.Revision, "ConfirmedMS": e.gossip.SinceConfirmed(now).Milliseconds(),
			"ConfirmedBy": e.gossip.ConfirmedBy(now), "Peers": e.gossip.PeerCount(now),
		})
	}
	return reads
}

// updateZonePeers tells the steerer which other nodes are in this node's zone, if the table
// has warmups: cold servers are then shared among these nodes.
func (e *Edge) updateZonePeers(now time.Time) {
	v := e.steerer.View()
	if v == nil || len(v.Table.Warmups) == 0 {
		return
	}
	names, others := e.gossip.KnownPeers(e.cfg.AvailabilityZone)
	e.steerer.SetZonePeers(names, others > 0 || e.hasNoOtherSeeds(), now)
}

// hasNoOtherSeeds reports whether the settings name no other node to join.
func (e *Edge) hasNoOtherSeeds() bool {
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

// sendToPeer sends a message, unless the node was paused after the message was built: the
// ages in it would be too low.
func (e *Edge) sendToPeer(to netip.AddrPort, b []byte) {
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

// readPeerMessages handles other nodes' datagrams until the socket is closed.
func (e *Edge) readPeerMessages(ctx context.Context) {
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
		e.spreadReports(now)
	}
}

// fetch updates this node's records from a peer's in the background. It does nothing while
// another fetch is running.
func (e *Edge) fetch(peer bronzegossip.Peer, since bronzerecord.Position) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		start := time.Now()
		d, err := e.fetchRecords(peer.Records, since)
		fields := Fields{
			"Peer": peer.Name, "FromEpoch": since.Epoch, "From": since.Revision, "Epoch": d.Epoch, "To": d.To,
			"Changed": len(d.Changed), "Removed": len(d.Removed), "TookMS": time.Since(start).Milliseconds(),
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

// fetchLostHistory gets from a peer what it remembers of earlier epochs of the store, in
// the background. It does nothing while another fetch is running.
func (e *Edge) fetchLostHistory(peer bronzegossip.Peer) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		var history bronzerecord.LostHistory
		err := e.getCBOR(peer.Records, lostHistoryPath, nil, &history)
		fields := Fields{
			"Peer": peer.Name, "Epoch": history.Epoch, "FormerEpoch": history.Former.Epoch, "FormerRevision": history.Former.Revision,
			"Lost": len(history.Lost),
		}
		if err != nil {
			fields["Error"] = err.Error()
		}
		e.log.Line("FetchedFormer", fields)
		if err == nil {
			e.records.MergeLostHistory(history)
		}
	}()
}

func (e *Edge) fetchRecords(from netip.AddrPort, since bronzerecord.Position) (d bronzerecord.Delta, err error) {
	query := url.Values{
		epochQuery: {strconv.FormatUint(since.Epoch, 10)},
		sinceQuery: {strconv.FormatUint(since.Revision, 10)},
		gapsQuery:  {"1"},
	}
	err = e.getCBOR(from, recordsPath, query, &d)
	return d, err
}

// getCBOR requests a path from a peer and decodes the gzipped CBOR response into v.
func (e *Edge) getCBOR(from netip.AddrPort, path string, query url.Values, v any) (err error) {
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
	decompressor, err := gzip.NewReader(res.Body)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(io.LimitReader(decompressor, maxResponseBytes))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}

func (e *Edge) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+recordsPath, e.serveRecords)
	mux.HandleFunc("GET "+lostHistoryPath, e.serveLostHistory)
	return mux
}

// serveRecords serves recordsPath. It refuses requests for all records with status 503 while
// maxFullCopies of them are being sent.
func (e *Edge) serveRecords(w http.ResponseWriter, r *http.Request) {
	since, err := parsePosition(r.URL.Query())
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
	if !ok || len(d.Gaps) > 0 && !r.URL.Query().Has(gapsQuery) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, err := e.deltas.encode(d)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.sendRecords(w, b)
}

// serveLostHistory serves lostHistoryPath, for peers that know less of earlier epochs than
// this node.
func (e *Edge) serveLostHistory(w http.ResponseWriter, _ *http.Request) {
	history, ok := e.records.LostHistory()
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, err := encodeCBOR(history)
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

// parsePosition returns the position of the requesting node's records.
func parsePosition(query url.Values) (p bronzerecord.Position, err error) {
	if p.Epoch, err = strconv.ParseUint(query.Get(epochQuery), 10, 64); err != nil {
		return p, errors.Errorf("%s: %q is not an epoch", epochQuery, query.Get(epochQuery))
	}
	if p.Revision, err = strconv.ParseUint(query.Get(sinceQuery), 10, 64); err != nil {
		return p, errors.Errorf("%s: %q is not a revision", sinceQuery, query.Get(sinceQuery))
	}
	return p, nil
}

// deltaCache keeps the last delta sent, in encoded form. When the table changes, several
// peers ask for the same delta at once.
type deltaCache struct {
	mu       sync.Mutex
	from, to bronzerecord.Position
	body     []byte
}

// encode returns d as gzipped CBOR. A delta with lost history isn't cached, since that
// history changes with time.
func (c *deltaCache) encode(d bronzerecord.Delta) (b []byte, err error) {
	if d.Recollection != nil {
		return encodeCBOR(d)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	from := bronzerecord.Position{Epoch: d.Epoch, Revision: d.From}
	to := bronzerecord.Position{Epoch: d.Epoch, Revision: d.To}
	if c.body != nil && c.from == from && c.to == to {
		return c.body, nil
	}
	if b, err = encodeCBOR(d); err != nil {
		return nil, err
	}
	c.from, c.to, c.body = from, to, b
	return b, nil
}

// encodeCBOR returns v as gzipped CBOR. Routes resemble each other, so 1,200 of them shrink
// from 170 KB to a tenth; uncompressed they would fill a link of 10 Mbit/s for a seventh of
// a second.
func encodeCBOR(v any) (b []byte, err error) {
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
