package bronzetest

import (
	"context"
	"time"
)

// The disturbances of a Demo.
const (
	NoDisturbance = "none"
	// Rolling replaces every balancer, one after another.
	Rolling = "rolling"
	// Drain drains a backend server of each service.
	Drain = "drain"
	// Both is Rolling during a Drain.
	Both = "both"
	// Kill stops two balancers without notice after a Drain.
	Kill = "kill"
	// Partition separates half of the zones from the others for a while. The
	// platform is in the first half.
	Partition = "partition"
	// Pause stops two balancers for longer than their lease.
	Pause = "pause"
	// PlatformDown makes every call to the platform fail for a while.
	PlatformDown = "platform-down"
	// Silent drops what one balancer sends to backend servers for existing
	// flows, and everything on its open links to other balancers. New flows
	// and new links work.
	Silent = "silent"
	// Reject makes a third of each pool refuse new flows with a reset.
	Reject = "reject"
)

// Disturbances returns the names of all disturbances.
func Disturbances() []string {
	return []string{
		NoDisturbance, Rolling, Drain, Both, Kill, Partition, Pause, PlatformDown, Silent, Reject,
	}
}

const (
	// maxAffected is the number of balancers that are killed or paused if
	// there are enough.
	maxAffected = 2
	// muteDuration is longer than the interval between heartbeats, so that
	// every link is used while it is muted.
	muteDuration = 1200 * time.Millisecond
	// One server in rejectOneIn of a pool refuses new flows.
	rejectOneIn = 3
	// leaveQuiet is how long a leaving balancer waits for late packets.
	leaveQuiet = 500 * time.Millisecond
	// leaveLimit bounds the time that a replaced balancer has to leave.
	leaveLimit = 10 * time.Second
)

// disturb causes the Demo's disturbance. It begins after a quarter of the run.
// A temporary disturbance has ended after three quarters.
func (r *run) disturb(ctx context.Context) (err error) {
	defer annotate(&err, "disturb: "+r.Disturb)
	if !sleep(ctx, r.Duration/4) {
		return nil
	}
	span := r.Duration / 2
	switch r.Disturb {
	case Rolling:
		return r.replaceAll(ctx)
	case Drain:
		return r.drain()
	case Both:
		if err = r.drain(); err != nil {
			return err
		}
		return r.replaceAll(ctx)
	case Kill:
		return r.kill(ctx, span)
	case Partition:
		r.partition(ctx, span)
	case Pause:
		r.pause(span)
	case PlatformDown:
		r.platform.SetDown(true)
		sleep(ctx, span)
		r.platform.SetDown(false)
		r.platformReachableAt.Store(time.Now().UnixNano())
	case Silent:
		r.silenceBalancer(ctx)
	case Reject:
		r.reject()
	}
	return nil
}

// sleep waits for d. It returns false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// replaceAll replaces every balancer: it starts a new one, and once that is
// ready the old one leaves. It continues past the run's duration until all are
// replaced.
func (r *run) replaceAll(ctx context.Context) error {
	for _, old := range r.live() {
		if err := r.startBalancer(ctx, old.zone); err != nil {
			return err
		}
		if err := r.awaitReady(ctx); err != nil {
			return err
		}
		if err := r.leave(ctx, old); err != nil {
			return err
		}
	}
	return nil
}

// drain drains the first server of each service and publishes that.
func (r *run) drain() error {
	for _, svc := range r.services {
		s := svc.servers[0]
		r.mu.Lock()
		svc.draining[s.Instance] = true
		r.mu.Unlock()
		s.Drain()
		r.baseline.SetPool(svc.Name, r.servingIDs(svc))
	}
	_, err := r.publish()
	return err
}

// kill drains first, so that the two kinds of balancers can be compared: the
// changed pool breaks flows of balancers that know only the pool, and the kill
// loses the flow tables of balancers that remember flows.
func (r *run) kill(ctx context.Context, span time.Duration) error {
	if err := r.drain(); err != nil {
		return err
	}
	if !sleep(ctx, span/2) {
		return nil
	}
	for _, b := range r.live()[:r.affectedCount()] {
		r.removeBalancer(b)
		b.kill()
	}
	return nil
}

// affectedCount is maxAffected, or less so that one balancer stays unaffected.
func (r *run) affectedCount() int { return min(maxAffected, len(r.live())-1) }

func (r *run) partition(ctx context.Context, span time.Duration) {
	sides := make(map[string]int)
	for i, zone := range r.deployment.Zones {
		sides[zone] = i % 2
	}
	r.fabric.Partition(sides)
	sleep(ctx, span)
	r.fabric.Partition(nil)
	r.platformReachableAt.Store(time.Now().UnixNano())
}

func (r *run) pause(span time.Duration) {
	for _, b := range r.live()[:r.affectedCount()] {
		b.node.Pause(span / 2)
	}
}

// silenceBalancer drops what the first balancer sends for existing flows, and
// mutes its links for muteDuration. A link that was used meanwhile stays silent,
// and new ones work.
func (r *run) silenceBalancer(ctx context.Context) {
	b := r.live()[0]
	for _, svc := range r.services {
		for _, s := range svc.servers {
			s.BlackholeExistingFlows(b.edge)
		}
	}
	control := b.node.ControlAddress()
	r.mutedAddress.Store(&control)
	sleep(ctx, muteDuration)
	r.mutedAddress.Store(nil)
}

func (r *run) reject() {
	for _, svc := range r.services {
		for i, s := range svc.servers {
			if i%rejectOneIn == 0 {
				s.SetMode(Shedding)
			}
		}
	}
}
