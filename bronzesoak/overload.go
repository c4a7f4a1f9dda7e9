package bronzesoak

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/platform/standin"
)

const (
	// lessUrgentRoute is the index of the route whose priority is 1 in a plan with an
	// Overload. The first route is of the same pool.
	lessUrgentRoute = 2
	// overloadFactor is the number of callers that an Overload adds, relative to the
	// plan's.
	overloadFactor = 6
	// overloadSlots replaces serverSlots in a plan with an Overload. Up to four
	// requests per slot wait then before a server rejects.
	overloadSlots = 2
	// overloadObjective is the objective of routes in such a plan, relative to the
	// service time. Nodes refuse urgent openings from 0.8 of it on, 3.2 requests
	// waiting per slot, which the queues can hold.
	overloadObjective = 4
	// overloadRequests is the number of requests of a less urgent session in such a
	// plan. Others have one, as nodes can refuse openings only. A rejected request is
	// also retried on a new flow.
	overloadRequests = 3
	// overloadAnswer is the length of answers other than rejections in such a plan.
	// Nodes tell rejections by their length if others have 100 bytes or more.
	overloadAnswer = 500
)

func (s *soak) slots() int {
	if s.plan.overloads() {
		return overloadSlots
	}
	return serverSlots
}

// requestsPerFlow returns the number of requests of a session on a route.
func (s *soak) requestsPerFlow(r *route) int {
	switch {
	case !s.plan.overloads():
		return maxRequestsPerFlow
	case r.priority > 0:
		return overloadRequests
	}
	return 1
}

// objective returns the objective of the i-th active route.
func (s *soak) objective(i int) time.Duration {
	if s.plan.overloads() {
		return overloadObjective * time.Duration(s.plan.WorkMS) * time.Millisecond
	}
	return time.Duration(500+i) * time.Millisecond
}

// overload adds callers of the less urgent route for d.
func (s *soak) overload(ctx context.Context, d time.Duration) {
	s.overloaded.extend(time.Now().Add(d))
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	pause := time.Duration(s.plan.PauseMS) * time.Millisecond
	for i := range overloadFactor * s.plan.Callers {
		h := s.callerHosts[i%len(s.callerHosts)]
		go h.makeRequests(ctx, func() (route, bool) { return s.tracker.activeRoutes()[lessUrgentRoute], true }, pause)
	}
	<-ctx.Done()
}

// attempt identifies an attempt of a request.
type attempt struct {
	id     uint64
	number byte
}

// attemptState has a bit for each thing that happened to an attempt.
type attemptState byte

const (
	// ran: a server ran it.
	ran attemptState = 1 << iota
	// denied: its caller was told that it was refused or rejected.
	denied
)

// recordAttempt records what happened to an attempt, and reports whether it both
// ran and was denied.
func (t *tracker) recordAttempt(a attempt, happened attemptState) (contradicts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[a] |= happened
	return t.attempts[a] == ran|denied
}

func (t *tracker) isDenied(a attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts[a]&denied != 0
}

// recordReached records that a server received the first opening packet of a flow.
func (t *tracker) recordReached(key flowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reached[key] = true
}

// hasReached reports whether a server received the first opening packet of a flow.
func (t *tracker) hasReached(key flowKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reached[key]
}

// answerOf returns the attempt that an answer is for, and its outcome.
func answerOf(p *standin.Packet) (a attempt, outcome byte) {
	return attempt{binary.LittleEndian.Uint64(p.Payload), p.Payload[8] >> 1}, p.Payload[8] & 1
}

// checkAnswer checks an answer against what callers were told of the attempt
// before. Other packets are ignored.
func (h *callerHost) checkAnswer(p *standin.Packet) {
	if p.Reset || p.Open || !p.ChecksumValid || len(p.Payload) < requestSize {
		return
	}
	a, outcome := answerOf(p)
	switch {
	case outcome == answerFull:
		if h.soak.tracker.recordAttempt(a, denied) {
			h.soak.violations.add(RanRefused, "request %d had run when attempt %d was rejected", a.id, a.number)
		}
	case h.soak.tracker.isDenied(a):
		h.soak.violations.add(AnsweredRefused, "attempt %d of request %d succeeded after it was refused or rejected", a.number, a.id)
	}
}

// refusals counts the openings that nodes logged as refused for lack of room.
type refusals struct{ total, urgent int }

// refusedOpening is a line of a node's log for an opening refused for lack of room.
type refusedOpening struct {
	Time            time.Time
	Message, Reason string
	Caller, Service netip.AddrPort
	Copy            uint32
	Cause           string
	Fraction        float64
	Waiting, Limit  float64
}

// checkLogs checks the refusals that nodes logged, in a plan with an Overload.
func (s *soak) checkLogs() {
	if !s.plan.overloads() {
		return
	}
	for _, n := range s.nodes {
		f, err := os.Open(filepath.Join(s.dir, n.name+".log"))
		if err != nil {
			s.fail(errors.Wrap(err, "check refusals"))
			continue
		}
		s.checkRefusals(n.name, f)
		_ = f.Close()
	}
	s.addRefusedProbes()
}

// addRefusedProbes adds the violations of the probes that weren't refused for lack of room.
func (s *soak) addRefusedProbes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.refusedProbes {
		s.violations.add(p.invariant, "%s", p.text)
	}
}

const (
	// compareWindow is the time in which refusals of two priorities are compared. A
	// node refuses as if a priority did not exist that had no openings for 10 s.
	compareWindow = 2 * time.Second
	// minRefusedPart is the refused part from which a priority counts as refused: the
	// guarantee is 1 in 50, and a thousandth allows for rounding.
	minRefusedPart = 0.98 - 0.001
)

// checkRefusals checks the refusals in a node's log. The log has the load of
// refused openings only: a less urgent refusal that was one of a part shows the
// load at which the rest was admitted. Lines beyond 200 a second are missing.
func (s *soak) checkRefusals(node string, log io.Reader) {
	var partly []refusedOpening // less urgent ones, of which a part was admitted
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var r refusedOpening
		// Other lines need not have these fields, and the last may be incomplete.
		if json.Unmarshal(lines.Bytes(), &r) != nil || r.Message != "Flow" || r.Reason != "Overloaded" {
			continue
		}
		s.mu.Lock()
		delete(s.refusedProbes, flowKey{r.Caller, r.Service})
		s.mu.Unlock()
		to, ok := s.tracker.route(r.Service)
		if !ok {
			continue
		}
		s.refused.total++
		if key := (flowKey{r.Caller, r.Service}); r.Copy > 0 || s.tracker.hasReached(key) {
			s.violations.add(RefusedOpen, "%s refused transmission %d of flow %v at %v, which a server may have accepted", node, r.Copy+1, key, r.Time)
		}
		if to.priority > 0 {
			if r.Cause == "Priority" && r.Fraction < minRefusedPart {
				partly = append(partly, r)
			}
			continue
		}
		if to.pool == pools[lessUrgentRoute%len(pools)] {
			s.refused.urgent++
		}
		if less := s.admittedAt(&r, &to, partly); less != nil {
			s.violations.add(RefusedUrgent, "%s refused %s at %v with %.2f of %.2f waiting, and %s only by %.2f with %.2f of %.2f", node,
				r.Service, r.Time, r.Waiting, r.Limit, less.Service, less.Fraction, less.Waiting, less.Limit)
		}
	}
	if err := lines.Err(); err != nil {
		s.fail(errors.Wrap(err, "log of "+node))
	}
}

// admittedAt returns the refusal, of those of a part of the less urgent openings,
// that was at the load of the urgent refusal r or at a higher one, nil if there is
// none.
func (s *soak) admittedAt(r *refusedOpening, to *route, partly []refusedOpening) *refusedOpening {
	for _, less := range slices.Backward(partly) {
		if r.Time.Sub(less.Time) >= compareWindow {
			break
		}
		if other, _ := s.tracker.route(less.Service); other.pool == to.pool && less.Waiting/less.Limit >= r.Waiting/r.Limit {
			return &less
		}
	}
	return nil
}
