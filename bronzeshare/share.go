package bronzeshare

// keptUtilization is the part of a zone's capacity that its own demand may use before any of it
// goes to other zones. Beyond it, requests begin to wait for each other.
const keptUtilization = 0.8

// Zone is the state of one pool in one AvailabilityZone.
type Zone struct {
	Name string
	// Demand is how many requests and openings per second the callers of the zone's nodes
	// offer.
	Demand float64
	// Capacity is how many requests per second the zone's usable servers of the pool can do.
	Capacity float64
}

// Shares returns for each zone which part of own's demand goes there. The parts add up to 1. It
// returns false if own is missing, if no zone has capacity, or if a value is negative or not
// finite.
func Shares(own string, zones []Zone) (parts []float64, ok bool) {
	level, i, ok := utilization(own, zones)
	if !ok {
		return nil, false
	}
	parts = make([]float64, len(zones))
	kept := zones[i].kept(level)
	parts[i] = kept
	if kept == 1 {
		return parts, true
	}
	// Without any room the zones are equally full, so that the rest goes to them by capacity.
	weight := func(z Zone) float64 { return max(level*z.Capacity-z.Demand, 0) }
	if sum(zones, weight) == 0 {
		weight = func(z Zone) float64 { return z.Capacity }
	}
	room := sum(zones, weight)
	for j, z := range zones {
		parts[j] += (1 - kept) * (weight(z) / room)
	}
	return parts, true
}

// utilization returns the utilization up to which zones are filled, and the index of own.
func utilization(own string, zones []Zone) (level float64, index int, ok bool) {
	index = -1
	demand, capacity := 0.0, 0.0
	for i, z := range zones {
		if !(z.Demand >= 0 && z.Capacity >= 0) {
			return 0, 0, false
		}
		if z.Name == own {
			index = i
		}
		demand += z.Demand
		capacity += z.Capacity
	}
	level = max(keptUtilization, demand/capacity)
	// Huge values make the level infinite or not a number.
	return level, index, index >= 0 && capacity > 0 && level*capacity <= maxRate
}

// maxRate bounds sums of rates, to keep the arithmetic exact enough. It is a billion times what
// any fleet does.
const maxRate = 1e15

// kept returns the part of the zone's demand that stays, if zones are filled up to level.
func (z Zone) kept(level float64) float64 {
	switch room := level * z.Capacity; {
	case z.Demand <= room && z.Capacity > 0:
		return 1
	case z.Demand == 0:
		return 0
	default:
		return room / z.Demand
	}
}

func sum(zones []Zone, of func(z Zone) float64) (total float64) {
	for _, z := range zones {
		total += of(z)
	}
	return total
}
