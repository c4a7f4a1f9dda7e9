package bronzepool

import (
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

// Denial is the reason why a new flow was not admitted.
type Denial uint8

// The values of Denial.
const (
	// Admitted means that the flow was admitted.
	Admitted Denial = iota
	// HalfOpenDenied: the service has too many half-open flows.
	HalfOpenDenied
	// OpenDenied: the service has too many flows.
	OpenDenied
	// RateDenied: the service opens too many flows per second.
	RateDenied
	// NodeHalfOpenDenied: the Customer's fair share of the node's half-open
	// flows is used up.
	NodeHalfOpenDenied
	// NodeOpenDenied: the Customer's fair share of the node's flows is used up.
	NodeOpenDenied
	denialCount
)

var denialNames = [denialCount]string{
	"Admitted", "HalfOpenDenied", "OpenDenied", "RateDenied", "NodeHalfOpenDenied", "NodeOpenDenied",
}

// String returns the denial's name.
func (d Denial) String() string {
	if d < denialCount {
		return denialNames[d]
	}
	return "Unknown"
}

// A Customer may use up to this factor times the free part of a node-wide
// limit. This always leaves room for a Customer that uses none, without a list
// of Customers: if k Customers take all they can get, each ends up with
// f/(k*f+1) of the limit, and 1/(k*f+1) stays free. A flood uses up half-open
// flows, so a larger part of their limit is kept free.
const (
	halfOpenFactor = 1
	openFactor     = 8
)

// Admission limits the flows of services and Customers on one node. The zero
// value has no node-wide limits. All methods are safe for concurrent use.
type Admission struct {
	// HalfOpen and Open limit the half-open flows and all flows of the node;
	// 0 means no limit. Set them before the first call.
	HalfOpen int
	Open     int

	halfOpen atomic.Int64
	open     atomic.Int64

	mu        sync.Mutex
	customers map[string]*customerUsage
}

// customerUsage counts the flows of one Customer. Its lock also guards the
// Customer's accounts, so a flood of one Customer contends only with itself.
type customerUsage struct {
	mu       sync.Mutex
	halfOpen int64
	open     int64
	accounts map[string]*Account
}

// Account counts the flows of one service on a node. It stays valid after
// RemoveService for the flows that are still open. All methods are safe for
// concurrent use.
type Account struct {
	admission *Admission
	customer  *customerUsage
	limits    bronzeconf.Limits
	limiter   *rate.Limiter
	halfOpen  int64
	open      int64
}

// SetService applies the limits of svc and returns its account. A service that
// is set already keeps its account.
func (a *Admission) SetService(svc *bronzeconf.Service) *Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.customer(svc.Customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	acc := c.accounts[svc.Name]
	if acc == nil {
		acc = &Account{admission: a, customer: c}
		c.accounts[svc.Name] = acc
	}
	if acc.limits.NewPerSecond != svc.Limits.NewPerSecond {
		acc.limiter = newLimiter(svc.Limits.NewPerSecond)
	}
	acc.limits = svc.Limits
	return acc
}

// RemoveService removes the account of a service that is no longer configured.
func (a *Admission) RemoveService(svc *bronzeconf.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.customer(svc.Customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.accounts, svc.Name)
	// The Customer is kept while it has open flows, so that they still count
	// against its fair share if it comes back.
	if len(c.accounts) == 0 && c.open == 0 {
		delete(a.customers, svc.Customer)
	}
}

// customer returns the usage of the named Customer, adding it if it is new. The
// caller must hold the lock.
func (a *Admission) customer(name string) *customerUsage {
	c := a.customers[name]
	if c != nil {
		return c
	}
	if a.customers == nil {
		a.customers = make(map[string]*customerUsage)
	}
	c = &customerUsage{accounts: make(map[string]*Account)}
	a.customers[name] = c
	return c
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Admit counts a new half-open flow, or returns why it is denied. It never
// waits: a caller that is refused early can go elsewhere, one in a queue can't.
func (acc *Account) Admit() Denial {
	c := acc.customer
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := acc.check(); d != Admitted {
		return d
	}
	// The limiter is checked last because Allow takes a token.
	if acc.limiter != nil && !acc.limiter.Allow() {
		return RateDenied
	}
	acc.halfOpen++
	acc.open++
	c.halfOpen++
	c.open++
	acc.admission.halfOpen.Add(1)
	acc.admission.open.Add(1)
	return Admitted
}

func (acc *Account) check() Denial {
	a, c := acc.admission, acc.customer
	switch {
	case atLimit(acc.halfOpen, acc.limits.HalfOpen):
		return HalfOpenDenied
	case atLimit(acc.open, acc.limits.Open):
		return OpenDenied
	case overFairShare(c.halfOpen, a.halfOpen.Load(), a.HalfOpen, halfOpenFactor):
		return NodeHalfOpenDenied
	case overFairShare(c.open, a.open.Load(), a.Open, openFactor):
		return NodeOpenDenied
	default:
		return Admitted
	}
}

func atLimit(n int64, limit int) bool {
	return limit > 0 && n >= int64(limit)
}

// overFairShare reports whether a Customer that uses used has reached its share
// of bound, of which all Customers together use total. Customers are admitted in
// parallel, so bound can be exceeded by at most one flow per thread.
func overFairShare(used, total int64, bound int, factor int64) bool {
	return bound > 0 && used >= factor*(int64(bound)-total)
}

// Established records that a half-open flow is established.
func (acc *Account) Established() {
	c := acc.customer
	c.mu.Lock()
	defer c.mu.Unlock()
	acc.endHalfOpen()
}

// Ended reverts Admit when a flow has ended; established tells whether
// Established was called for it.
func (acc *Account) Ended(established bool) {
	c := acc.customer
	c.mu.Lock()
	defer c.mu.Unlock()
	if !established {
		acc.endHalfOpen()
	}
	acc.open--
	c.open--
	acc.admission.open.Add(-1)
}

func (acc *Account) endHalfOpen() {
	acc.halfOpen--
	acc.customer.halfOpen--
	acc.admission.halfOpen.Add(-1)
}
