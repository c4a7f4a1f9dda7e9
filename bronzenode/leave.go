package bronzenode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"bronzeusher.example/bronzeusher/bronzecore"
)

// leaveCheckInterval is how often a leaving node checks whether it may end.
const leaveCheckInterval = 50 * time.Millisecond

// ErrLeaving is returned by a second call of Leave.
var ErrLeaving = errors.New("node is already leaving")

// Leave takes the node out of the fleet: the node is no longer ready, places
// no new flows, hands over the state that other nodes can't compute, and goes
// on relaying. It ends once all is handed over and no caller's packet has come
// from the fabric for Config.LeaveQuiet, at the latest after Config.LeaveLimit
// or when ctx is done. Leave returns after Run has; remaining counts what was
// not handed over. Run must have been called.
func (n *Node) Leave(ctx context.Context) (remaining bronzecore.Remaining, err error) {
	defer annotate(&err, "leave")
	if n.leaving.Swap(true) {
		return remaining, ErrLeaving
	}
	n.log.Info("leaving")
	n.quietSince.Store(time.Now().UnixNano())
	limit, cancel := context.WithTimeout(ctx, n.cfg.LeaveLimit)
	announced := n.announce(limit)
	n.waitUntilHandedOver(limit, announced)
	cancel()
	<-announced
	remaining = n.balancer.Remaining()
	n.stopWith(nil)
	<-n.done
	n.logRemaining(remaining)
	return remaining, ctx.Err()
}

// announce tells the peers that this node is leaving, and closes the returned
// channel once they know or ctx is done. The next view, in which other nodes
// own all flows, makes the Balancer leave too.
func (n *Node) announce(ctx context.Context) (announced <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.fleet.Leave(ctx); err != nil {
			n.log.WithError(err).Warn("not all peers know that this node is leaving")
		}
		n.balancer.Leave()
	}()
	return done
}

// waitUntilHandedOver returns when the node may end, or when ctx is done.
func (n *Node) waitUntilHandedOver(ctx context.Context, announced <-chan struct{}) {
	select {
	case <-announced:
	case <-n.done:
		return
	}
	ticker := time.NewTicker(leaveCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.done:
			return
		case <-ticker.C:
		}
		if n.isQuiet() && n.balancer.Remaining() == (bronzecore.Remaining{}) {
			return
		}
	}
}

// isQuiet reports whether the fabric has stopped sending to this node. The
// fabric goes on until it has seen that the node isn't ready, and packets sent
// after the node's end would be lost.
func (n *Node) isQuiet() bool {
	since := time.Unix(0, n.quietSince.Load())
	return time.Since(since) >= n.cfg.LeaveQuiet
}

func (n *Node) logRemaining(remaining bronzecore.Remaining) {
	entry := n.log.WithFields(logrus.Fields{"Copies": remaining.Copies, "Attempts": remaining.Attempts})
	if remaining == (bronzecore.Remaining{}) {
		entry.Info("left")
		return
	}
	entry.Warn("left with something undone")
}
