package main

// Day is what was measured of one day, and when nobody could be served.
type Day struct {
	Deployment string
	Name       string
	// Classes are the kinds of requests.
	Classes []Class
	// Dark are the times without any node that was up.
	Dark []Interval
	// Windows follow each other without gaps.
	Windows []Window
}

// Class is a kind of request. Share is its part of all requests; what it earns is Worth
// within AimMS of the caller's first try, LateWorth up to DeadlineMS, and nothing later.
type Class struct {
	Name       string
	Share      float64
	AimMS      float64
	DeadlineMS float64
	WorkMS     float64
	Worth      float64
	LateWorth  float64
}

// Interval is a time of the day, in seconds from its start.
type Interval struct {
	FromS float64
	ToS   float64
}

// Window is what callers saw in a part of the day: how many requests they sent, and how
// many were answered late or not at all.
type Window struct {
	FromS float64
	ToS   float64
	Asked int
	Late  int
	Lost  int
}

// Loss is what a window lost, in requests that earned nothing; a late one counts for what
// it lost. Unavoidable is the part that no system could have earned, since no node was up.
type Loss struct {
	Window
	Total       float64
	Unavoidable float64
}

// Avoidable returns the part that the system could have earned.
func (l *Loss) Avoidable() float64 { return max(l.Total-l.Unavoidable, 0) }

// copiesMS is how long after their first try callers send an opening again, and what
// follows: the next try begins as soon as the first is given up. All figures are those of
// the callers' protocol, in milliseconds.
var copiesMS = []float64{0, 200, 600, 1400, 1600, 2000}

// handshakeMS is how long an opening takes, in milliseconds, as measured by nodes.
const handshakeMS = 4

// sample is how finely the time without nodes is divided, in seconds.
const sample = 0.005

// Losses returns what the windows of a day lost.
func (d *Day) Losses() (list []Loss) {
	for _, w := range d.Windows {
		l := Loss{Window: w}
		if w.Asked > 0 {
			l.Total = float64(w.Lost) + float64(w.Late)*d.lateLoss()
			l.Unavoidable = min(d.unavoidable(w), l.Total)
		}
		list = append(list, l)
	}
	return list
}

// lateLoss returns what a late answer loses, on average over the classes.
func (d *Day) lateLoss() (loss float64) {
	for _, c := range d.Classes {
		loss += c.Share * (1 - c.LateWorth/c.Worth)
	}
	return loss
}

// unavoidable returns how many of a window's requests nobody could have earned.
func (d *Day) unavoidable(w Window) (lost float64) {
	rate := float64(w.Asked) / (w.ToS - w.FromS)
	for _, dark := range d.Dark {
		for at := max(dark.FromS, w.FromS); at < min(dark.ToS, w.ToS); at += sample {
			for _, c := range d.Classes {
				lost += sample * rate * c.Share * (1 - c.best((dark.ToS-at)*1000))
			}
		}
	}
	return lost
}

// best returns the most that a request can earn that is sent so long before a node is up.
func (c *Class) best(beforeMS float64) float64 {
	for _, at := range copiesMS {
		if at < beforeMS {
			continue
		}
		took := at + handshakeMS + c.WorkMS
		switch {
		case took <= c.AimMS:
			return 1
		case took <= c.DeadlineMS:
			return c.LateWorth / c.Worth
		default:
			return 0
		}
	}
	return 0
}
