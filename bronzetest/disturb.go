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
	// Drain takes a backend server of each service out of its pool.
	Drain = "drain"
	// Both is Rolling during a Drain.
	Both = "both"
	// Kill ends two balancers without notice after a Drain.
	Kill = "kill"
	// Partition cuts half of the zones off from the others for a while; the
	// platform stays with the first half.
	Partition = "partition"
	// Pause stops two balancers for longer than their lease.
	Pause = "pause"
	// PlatformDown makes the platform fail for a while.
	PlatformDown = "platform-down"
	// Silent loses what one balancer sends to backend servers for the flows
	// that exist, and all on its open links to other balancers. New flows and
	// new links work.
	Silent = "silent"
	// Reject makes a third of each pool refuse new flows.
	Reject = "reject"
)

// Disturbances returns all of them.
func Disturbances() []string {
	return []string{
		NoDisturbance, Rolling, Drain, Both, Kill, Partition, Pause, PlatformDown, Silent, Reject,
	}
}

const (
	// victims is how many balancers are killed or paused.
	victims = 2
	// muteLinks is longer than the interval of heartbeats.
	muteLinks = 1200 * time.Millisecond
	// rejectOneIn is the part of a pool that refuses.
	rejectOneIn = 3
	// leaveQuiet is how long a leaving balancer waits for late packets.
	leaveQuiet = 500 * time.Millisecond
	// leaveLimit bounds the leave of a replaced balancer.
	leaveLimit = 10 * time.Second
)

// disturb makes the Demo's disturbance. It begins after a quarter of the
// run, and what heals has healed after three quarters.
func (r *run) disturb(ctx context.Context) (err error) {
	defer annotate(&err, "disturb: "+r.Disturb)
	if !sleep(ctx, r.Duration/4) {
		return nil
	}
	span := r.Duration / 2
	switch r.Disturb {
	case Rolling:
		return r.roll(ctx)
	case Drain:
		return r.drain()
	case Both:
		if err = r.drain(); err != nil {
			return err
		}
		return r.roll(ctx)
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
		r.reachable.Store(time.Now().UnixNano())
	case Silent:
		r.silence(ctx)
	case Reject:
		r.reject()
	}
	return nil
}

// sleep waits for d; it reports false if ctx ended before.
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

// roll replaces every balancer: the new one is started and then the old one
// leaves. It goes on after the end of the run's time until all are replaced.
func (r *run) roll(ctx context.Context) error {
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

// drain takes the first server of each service out.
func (r *run) drain() error {
	for _, svc := range r.services {
		s := svc.servers[0]
		r.mu.Lock()
		svc.draining[s.Instance] = true
		r.mu.Unlock()
		s.Drain()
		r.shadow.SetPool(svc.Name, r.pool(svc))
	}
	_, err := r.publish()
	return err
}

// kill drains first: a balancer that knows nothing but the pool loses the
// flows of a changed pool, one that remembers them loses its memory.
func (r *run) kill(ctx context.Context, span time.Duration) error {
	if err := r.drain(); err != nil {
		return err
	}
	if !sleep(ctx, span/2) {
		return nil
	}
	for _, b := range r.live()[:r.victims()] {
		r.drop(b)
		b.kill()
	}
	return nil
}

// victims leaves at least one balancer.
func (r *run) victims() int { return min(victims, len(r.live())-1) }

func (r *run) partition(ctx context.Context, span time.Duration) {
	sides := make(map[string]int)
	for i, zone := range r.deployment.Zones {
		sides[zone] = i % 2
	}
	r.fabric.Partition(sides)
	sleep(ctx, span)
	r.fabric.Partition(nil)
	r.reachable.Store(time.Now().UnixNano())
}

func (r *run) pause(span time.Duration) {
	for _, b := range r.live()[:r.victims()] {
		b.node.Pause(span / 2)
	}
}

// silence mutes the links for as long as it takes that each has been used:
// then they stay silent, and new ones work.
func (r *run) silence(ctx context.Context) {
	b := r.live()[0]
	for _, svc := range r.services {
		for _, s := range svc.servers {
			s.BlackholeExistingFlows(b.edge)
		}
	}
	control := b.node.ControlAddress()
	r.muted.Store(&control)
	sleep(ctx, muteLinks)
	r.muted.Store(nil)
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
