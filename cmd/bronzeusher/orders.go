package main

import (
	"fmt"
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeedge"
)

// orders returns a line for each order that the settings files and records, which
// have no faults, put in force at now, so that an operator sees what the files
// mean before they are published.
func (c *checkCommand) orders(now time.Time) (lines []string, err error) {
	for _, file := range c.Settings {
		cfg, err := bronzeedge.ReadConfig(file)
		if err != nil {
			return nil, err
		}
		for _, line := range overloadOrders(&cfg.Overload, now) {
			lines = append(lines, file+": "+line)
		}
	}
	records, err := readRecords(c.Files)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if svc, _ := bronzeconf.Decode(r.Name, r.Body); svc != nil {
			for _, line := range recordOrders(svc, now) {
				lines = append(lines, r.Name+": "+line)
			}
		}
	}
	return lines, nil
}

func overloadOrders(o *bronzeedge.Overload, now time.Time) (lines []string) {
	for _, s := range o.Shares {
		lines = append(lines, shareOrder(s.Customer, s.Guaranteed, s.Highest, "of each pool"))
	}
	for _, p := range o.Priorities {
		lines = append(lines, fmt.Sprintf("%v has priority %d", p.Service, p.Priority))
	}
	for _, name := range o.ClosedPools {
		lines = append(lines, fmt.Sprintf("pool %q takes no new flows", name))
	}
	for _, s := range o.Shed {
		lines = append(lines, fmt.Sprintf("pool %q refuses %v of new flows from priority %d on %s", s.Pool, s.Fraction, s.Priority, until(s.Until, now)))
	}
	return lines
}

func recordOrders(svc *bronzeconf.Service, now time.Time) (lines []string) {
	if svc.SchemaVersion < bronzeconf.SchemaV3 {
		return nil
	}
	lines = append(lines, fmt.Sprintf("%q has priority %d", svc.Name, svc.Priority))
	if svc.Share != (bronzeconf.Share{}) {
		lines = append(lines, shareOrder(svc.Customer, svc.Share.Guaranteed, svc.Share.Highest, "of each balancer"))
	}
	if svc.Closed {
		lines = append(lines, fmt.Sprintf("%q takes no new flows", svc.Name))
	}
	if svc.Shed.Fraction > 0 {
		lines = append(lines, fmt.Sprintf("%q refuses %v of callers %s", svc.Name, svc.Shed.Fraction, until(svc.Shed.Until, now)))
	}
	return lines
}

func shareOrder(customer string, guaranteed, highest float64, of string) string {
	if highest == 0 {
		return fmt.Sprintf("%q is guaranteed %v %s", customer, guaranteed, of)
	}
	return fmt.Sprintf("%q is guaranteed %v and gets at most %v %s", customer, guaranteed, highest, of)
}

// until says when an order ends, and whether it has.
func until(end, now time.Time) string {
	if !now.Before(end) {
		return "until " + end.Format(time.RFC3339) + ", which is over"
	}
	return "until " + end.Format(time.RFC3339)
}
