package main

// Day holds the measurements of one day and the times without service.
type Day struct {
	Deployment string
	Name       string
	// Classes are the kinds of requests.
	Classes []Class
	// Dark lists the intervals in which no node was up.
	Dark []Interval
	// Windows lists consecutive windows without gaps.
	Windows []Window
}

// Class is a kind of request. Share is its fraction of all requests. An answer earns Worth
// within AimMS of the caller's first try, LateWorth up to DeadlineMS, and nothing later.
// WorkMS is how long a server takes to answer.
type Class struct {
	Name       string
	Share      float64
	AimMS      float64
	DeadlineMS float64
	WorkMS     float64
	Worth      float64
	LateWorth  float64
}

// Interval is a part of the day, in seconds from its start.
type Interval struct {
	FromS float64
	ToS   float64
}

// Window holds what callers measured in a part of the day: how many requests they sent
// (Asked), and how many of them were answered late (Late) or not at all (Lost).
type Window struct {
	FromS float64
	ToS   float64
	Asked int
	Late  int
	Lost  int
}

// Loss is the loss of a window, in requests that earned nothing. A late request counts as
// the fraction that it lost. Unavoidable is the part of Total that no system could have
// earned, because no node was up.
type Loss struct {
	Window
	Total       float64
	Unavoidable float64
}

// Avoidable returns the part of the loss that the system could have earned.
func (l *Loss) Avoidable() float64 { return max(l.Total-l.Unavoidable, 0) }

// transmissionsMS are the times at which a caller sends an opening, in milliseconds from its
// first try, as its protocol defines them: the first try with its retransmissions, and then
// the next try, which begins as soon as the first is given up.
var transmissionsMS = []float64{0, 200, 600, 1400, 1600, 2000}

// handshakeMS is the duration of an opening in milliseconds, as measured by nodes.
const handshakeMS = 4

// sampleSeconds is the step at which the time without nodes is sampled.
const sampleSeconds = 0.005

// Losses returns the loss of each window of the day, which is 0 without requests.
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

// lateLoss returns the fraction that a late answer loses, averaged over the classes.
func (d *Day) lateLoss() (loss float64) {
	for _, c := range d.Classes {
		loss += c.Share * (1 - c.LateWorth/c.Worth)
	}
	return loss
}

// unavoidable returns how many requests of a window were lost because no node was up, if
// requests are spread evenly over the window.
func (d *Day) unavoidable(w Window) (lost float64) {
	rate := float64(w.Asked) / (w.ToS - w.FromS)
	for _, dark := range d.Dark {
		for at := max(dark.FromS, w.FromS); at < min(dark.ToS, w.ToS); at += sampleSeconds {
			for _, c := range d.Classes {
				lost += sampleSeconds * rate * c.Share * (1 - c.maxEarned((dark.ToS-at)*1000))
			}
		}
	}
	return lost
}

// maxEarned returns the maximum fraction of Worth that a request can earn whose first try is
// sent beforeMS before a node is up. It is answered after the first transmission from then on.
func (c *Class) maxEarned(beforeMS float64) float64 {
	for _, at := range transmissionsMS {
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
