package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeedge"
	"bronzeusher.example/bronzeusher/bronzenode"
)

type showCommand struct {
	Address netip.AddrPort `default:"127.0.0.1:6083" help:"HTTP address of the balancer."`
	Edge    bool           `help:"Ask a bronzeedge, at its metrics address."`
	JSON    bool           `name:"json" help:"Print JSON instead of tables."`
	Timeout time.Duration  `default:"5s" help:"Longest wait for the balancer."`
}

// Run asks a running balancer for its status and prints it.
func (c *showCommand) Run(ctx context.Context, p *program) (err error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Edge {
		return show(ctx, c, bronzeedge.StatusPath, p.Stdout, writeEdge)
	}
	return show(ctx, c, bronzenode.StatusPath, p.Stdout, writeStatus)
}

// show fetches the status at path and prints it as JSON or with write.
func show[T any](ctx context.Context, c *showCommand, path string, w io.Writer, write func(io.Writer, *T) error) (err error) {
	status, err := fetchStatus[T](ctx, "http://"+c.Address.String()+path)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(w, status)
	}
	return write(w, status)
}

func writeJSON(w io.Writer, status any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(status)
}

// writeEdge prints the status of a bronzeedge.
func writeEdge(w io.Writer, s *bronzeedge.Status) (err error) {
	t := &tables{w: w}
	t.begin("NODE", s.Name)
	t.row("AvailabilityZone", s.AvailabilityZone)
	t.row("Ready", s.Ready)
	t.row("Leaving", s.Leaving)
	t.row("Revision", s.Revision)
	t.row("Version", s.Version)
	t.row("Routes", s.Routes)
	t.row("ConfirmedSeconds", fmt.Sprintf("%.2f", s.ConfirmedSeconds))
	t.row("ReadsStore", s.ReadsStore)
	t.begin("PEER", "ZONE", "HEARDMS", "ADDRESS")
	for _, p := range s.Peers {
		t.row(p.Name, p.AvailabilityZone, p.HeardMS, p.Address)
	}
	t.begin("BACKENDSERVER", "POOL", "ZONE", "STATUS", "AVOIDED", "SILENT", "FLOWS", "WORK", "RATE", "OTHERS", "LATENCYMS")
	for _, b := range s.Servers {
		t.row(b.Instance, b.Pool, b.AvailabilityZone, b.Status, b.Avoided, b.Silent, b.Flows, b.Work,
			fmt.Sprintf("%.1f", b.Rate), fmt.Sprintf("%.1f", b.OthersRate), b.LatencyMS)
	}
	writePools(t, s)
	t.end()
	return t.err
}

// writePools prints the pools of a bronzeedge and the operators' rules in force.
func writePools(t *tables, s *bronzeedge.Status) {
	t.begin("POOL", "SERVERS", "CLOSED", "SHED", "WAITING", "LIMIT", "PRESSURE", "REJECTED", "REFUSED")
	shares := make(map[string]bronzeadmit.Share)
	for _, p := range s.Pools {
		rules := p.Rules
		if rules == nil {
			rules = &bronzeadmit.Rules{}
		}
		maps.Copy(shares, rules.Shares)
		t.row(p.Pool, p.Servers, rules.Closed, shedText(rules.Shed), decimals(p.Waiting), decimals(p.Limit), decimals(p.Pressure),
			p.Rejected, countsText(p.Refused))
	}
	t.begin("CUSTOMER", "GUARANTEED", "HIGHEST")
	for _, customer := range slices.Sorted(maps.Keys(shares)) {
		t.row(customer, shares[customer].Guaranteed, shares[customer].Highest)
	}
	t.begin("SERVICE", "ROUTE", "PUBLISHED", "PRIORITY")
	for _, p := range s.Priorities {
		t.row(p.Service, orNone(p.Route), p.Published, p.Priority)
	}
}

func decimals(x float64) string { return fmt.Sprintf("%.2f", x) }

// orNone returns s, or a dash for an empty cell.
func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// shedText returns the rules in one cell, such as "0.25 from 2 until 2026-12-24T18:00:00Z".
func shedText(rules []bronzeadmit.ShedRule) string {
	var parts []string
	for _, r := range rules {
		parts = append(parts, fmt.Sprintf("%v from %d until %s", r.Fraction, r.Priority, r.Until.Format(time.RFC3339)))
	}
	return orNone(strings.Join(parts, ", "))
}

// countsText returns the counts that aren't 0 in one cell, sorted by name.
func countsText(counts map[string]uint64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
		}
	}
	return orNone(strings.Join(parts, ", "))
}

func fetchStatus[T any](ctx context.Context, url string) (status *T, err error) {
	defer func() { err = errors.Wrap(err, "query the balancer") }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %s", res.Status)
	}
	status = new(T)
	err = json.NewDecoder(res.Body).Decode(status)
	return status, err
}

// tables writes tables with aligned columns. After the first error it writes
// nothing more.
type tables struct {
	w   io.Writer
	tw  *tabwriter.Writer
	err error
}

// begin ends the previous table, if any, and starts one with the header.
func (t *tables) begin(header ...any) {
	t.end()
	if t.tw != nil {
		t.print("\n")
	}
	t.tw = tabwriter.NewWriter(t.w, 0, 0, 2, ' ', 0)
	t.row(header...)
}

func (t *tables) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			t.print("\t")
		}
		t.print(fmt.Sprint(cell))
	}
	t.print("\n")
}

func (t *tables) print(s string) {
	if t.err == nil {
		_, t.err = io.WriteString(t.tw, s)
	}
}

func (t *tables) end() {
	if t.tw != nil && t.err == nil {
		t.err = t.tw.Flush()
	}
}

func writeStatus(w io.Writer, s *bronzenode.Status) (err error) {
	t := &tables{w: w}
	writeNode(t, s)
	writeServices(t, s)
	writeRules(t, s)
	writePeers(t, s)
	writeRefusals(t, s)
	writeCounters(t, s)
	t.end()
	return t.err
}

func writeNode(t *tables, s *bronzenode.Status) {
	t.begin("NODE", s.Name)
	t.row("Fleet", s.Fleet)
	t.row("AvailabilityZone", s.AvailabilityZone)
	t.row("Ready", s.Ready)
	t.row("Leaving", s.Leaving)
	t.row("Fenced", s.Fenced)
	t.row("Split", s.Split)
	t.row("ReadsPlatform", s.ReadsPlatform)
	t.row("Revision", s.Balancer.Revision)
	t.row("Flows", s.Balancer.Flows)
	t.row("Attempts", s.Balancer.Attempts)
	t.row("Copies", s.Balancer.Copies)
	t.row("CopiesDue", s.Balancer.CopiesDue)
}

func writeServices(t *tables, s *bronzenode.Status) {
	t.begin("CUSTOMER", "BRAND", "SERVICE", "SCHEMA", "BACKENDSERVER", "OWN", "TOTAL", "REPORTED", "TRUST", "LEAVING")
	for _, svc := range s.Balancer.Services {
		for _, b := range svc.Servers {
			t.row(svc.Customer, svc.Brand, svc.Name, svc.SchemaVersion, b.Instance,
				b.Own, fmt.Sprintf("%.0f", b.Total), b.Reported, fmt.Sprintf("%.2f", b.Trust), b.Leaving)
		}
	}
}

// writeRules prints the rules of the services of schema version 3.
func writeRules(t *tables, s *bronzenode.Status) {
	t.begin("CUSTOMER", "SERVICE", "PRIORITY", "OBJECTIVE", "GUARANTEED", "HIGHEST", "CLOSED", "SHED", "FULL", "LOAD")
	for _, svc := range s.Balancer.Services {
		r := svc.Rules
		if r == nil {
			continue
		}
		shed := "-"
		if r.Shed.Fraction > 0 {
			shed = fmt.Sprintf("%v until %s", r.Shed.Fraction, r.Shed.Until.Format(time.RFC3339))
		}
		t.row(svc.Customer, svc.Name, r.Priority, r.Objective, r.Share.Guaranteed, r.Share.Highest, r.Closed, shed, r.Full, decimals(r.Load))
	}
}

func writePeers(t *tables, s *bronzenode.Status) {
	t.begin("PEER", "STATUS", "ZONE", "CONTROL", "REVISION", "PROTOCOL")
	for _, peer := range s.Peers {
		t.row(peer.Name, peer.Status, peer.AvailabilityZone, peer.ControlAddress, peer.Revision, peer.Version)
	}
}

func writeRefusals(t *tables, s *bronzenode.Status) {
	t.begin("RECORD", "FIELD", "REFUSED BECAUSE")
	for _, r := range s.Balancer.Refusals {
		t.row(r.Record, r.Field, r.Reason)
	}
}

func writeCounters(t *tables, s *bronzenode.Status) {
	t.begin("COUNTER", "COUNT")
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		if s.Counters[name] > 0 {
			t.row(name, s.Counters[name])
		}
	}
}
