package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeconf"
)

// fullLimit is the load of full servers, in flows for each that they can hold,
// from which openings are refused by priority.
const fullLimit = 1

// overload admits openings of services of schema version 3 while not all can be
// served. These services share the node's limits, so one bronzeadmit.Pool
// decides between them. The zero value works.
type overload struct {
	pool bronzeadmit.Pool
	// decide replaces (*bronzeadmit.Pool).Decide in tests.
	decide func(p *bronzeadmit.Pool, r bronzeadmit.Request, l bronzeadmit.Load, at time.Duration, now time.Time) bronzeadmit.Verdict
}

// setServices applies the orders of the services in force.
func (o *overload) setServices(set *serviceSet) {
	var levels []int
	shares := make(map[string]bronzeadmit.Share)
	for conf, st := range set.byConf {
		st.orders.SetRules(ordersOf(conf))
		if conf.SchemaVersion < bronzeconf.SchemaV3 {
			continue
		}
		levels = append(levels, conf.Priority)
		if conf.Share != (bronzeconf.Share{}) {
			shares[conf.Customer] = joinShares(shares[conf.Customer], conf.Share)
		}
	}
	o.pool.SetLevels(levels)
	o.pool.SetRules(&bronzeadmit.Rules{Shares: shares})
}

// ordersOf returns the rules of one service, nil if there are none. Closed isn't
// one of them: it needs no decision.
func ordersOf(conf *bronzeconf.Service) *bronzeadmit.Rules {
	if conf.Shed.Fraction == 0 {
		return nil
	}
	return &bronzeadmit.Rules{Shed: []bronzeadmit.ShedRule{{Fraction: conf.Shed.Fraction, Until: conf.Shed.Until}}}
}

// joinShares joins the share of a Customer with that of another of its records.
func joinShares(a bronzeadmit.Share, b bronzeconf.Share) bronzeadmit.Share {
	return bronzeadmit.Share{Guaranteed: max(a.Guaranteed, b.Guaranteed), Highest: max(a.Highest, b.Highest)}
}

// ranked reports whether the services of schema version 3 differ in urgency:
// one has an objective or a guaranteed share, or their priorities differ.
func ranked(services []*bronzeconf.Service) bool {
	first := -1
	for _, conf := range services {
		switch {
		case conf.SchemaVersion < bronzeconf.SchemaV3:
		case conf.Objective > 0, conf.Share.Guaranteed > 0, first >= 0 && conf.Priority != first:
			return true
		default:
			first = conf.Priority
		}
	}
	return false
}

// placeNew places the flow of an attempt that no node knows, unless an operator's
// order or the lack of room is a reason to refuse it. Flows that another node has
// sent to a server are placed without this check: the server may have accepted
// them.
func (d *decision) placeNew(a *attempt) {
	if r := d.refusal(); r != None {
		d.shard.remove(a)
		d.add(d.refuseAction(&a.held, r))
		return
	}
	d.place(a, 0)
}

// refusal returns why the new flow of the packet is refused, or None.
func (d *decision) refusal() Reason {
	st := d.service
	conf := st.conf
	switch {
	case conf.SchemaVersion < bronzeconf.SchemaV3:
		return None
	case conf.Closed:
		return ServiceClosed
	}
	if conf.Shed.Fraction > 0 {
		if v := d.admission(st.orders, bronzeadmit.Load{}); !v.Admit {
			return Shed
		}
	}
	if !d.set.ranked {
		return None
	}
	load, full := st.pool.Saturation()
	if !full {
		return None
	}
	if v := d.admission(&d.overload.pool, bronzeadmit.Load{Waiting: load, Limit: fullLimit}); !v.Admit {
		return Overloaded
	}
	return None
}

// admission lets p decide on the packet's flow.
func (d *decision) admission(p *bronzeadmit.Pool, l bronzeadmit.Load) bronzeadmit.Verdict {
	r := bronzeadmit.Request{Priority: d.service.conf.Priority, Customer: d.service.conf.Customer, Caller: d.packet.Key.CallerHash()}
	// The times of operators and the epochs that nodes agree on are those of the
	// wall clock, which d.now isn't.
	at, now := d.now.Sub(d.started), time.Now()
	if d.overload.decide != nil {
		return d.overload.decide(p, r, l, at, now)
	}
	return p.Decide(r, l, at, now)
}
