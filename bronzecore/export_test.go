package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeadmit"
)

// SetDecide replaces the decisions of bronzeadmit.
func (b *Balancer) SetDecide(decide func(r bronzeadmit.Request, l bronzeadmit.Load) bronzeadmit.Verdict) {
	b.overload.decide = func(_ *bronzeadmit.Pool, r bronzeadmit.Request, l bronzeadmit.Load, _ time.Duration, _ time.Time) bronzeadmit.Verdict {
		return decide(r, l)
	}
}
