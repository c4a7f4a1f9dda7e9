package bronzepool

import (
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

// Denial is why a new flow was not admitted.
type Denial uint8

// The denials.
const (
	// Admitted is no denial.
	Admitted Denial = iota
	// HalfOpenDenied: the service has too many half-open flows.
	HalfOpenDenied
	// OpenDenied: the service has too many flows.
	OpenDenied
	// RateDenied: the service opens too many flows a second.
	RateDenied
	// NodeHalfOpenDenied: the Customer's fair part of the node's half-open
	// flows is used up.
	NodeHalfOpenDenied
	// NodeOpenDenied: the Customer's fair part of the node's flows is used up.
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

// A Customer may use this many times the room that is left of a node-wide
// bound. Room for a Customer that uses none is thus always left, without a
// list of Customers: when k Customers want all they can get, each ends up
// with f/(k*f+1) of the bound, and 1/(k*f+1) stays free. Half-open flows are
// what a flood uses up, so more of them is kept free.
const (
	halfOpenFactor = 1
	openFactor     = 8
)

// Admission bounds what services and Customers may use of a node. The zero
// value has no node-wide bounds. All methods may be called concurrently.
type Admission struct {
	// HalfOpen and Open bound the half-open flows and all flows of the node,
	// 0 means no limit. They are set before the first call.
	HalfOpen int
	Open     int

	halfOpen atomic.Int64
	open     atomic.Int64

	mu        sync.Mutex
	customers map[string]*customerUse
}

// customerUse is what one Customer uses. Its lock also guards the Customer's
// accounts, so a storm of one Customer contends with itself only.
type customerUse struct {
	mu       sync.Mutex
	halfOpen int64
	open     int64
	accounts map[string]*Account
}

// Account is what one service uses of a node. It stays valid after RemoveService
// for the flows that are still open.
type Account struct {
	admission *Admission
	customer  *customerUse
	limits    bronzeconf.Limits
	limiter   *rate.Limiter
	halfOpen  int64
	open      int64
}

// SetService returns the account of a service, with the limits of svc in force. The
// account of an earlier version of the service is kept.
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

// RemoveService forgets the account of a service that is no longer in force.
func (a *Admission) RemoveService(svc *bronzeconf.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.customer(svc.Customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.accounts, svc.Name)
	// While flows are open the Customer is kept, so that they still count
	// against its part if it comes back.
	if len(c.accounts) == 0 && c.open == 0 {
		delete(a.customers, svc.Customer)
	}
}

// customer returns what the Customer uses; the caller holds the lock.
func (a *Admission) customer(name string) *customerUse {
	c := a.customers[name]
	if c != nil {
		return c
	}
	if a.customers == nil {
		a.customers = make(map[string]*customerUse)
	}
	c = &customerUse{accounts: make(map[string]*Account)}
	a.customers[name] = c
	return c
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Admit counts a new half-open flow, or says why there must be none. It
// never waits: a caller who is refused early can go elsewhere, one in a queue
// can't.
func (acc *Account) Admit() Denial {
	c := acc.customer
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := acc.check(); d != Admitted {
		return d
	}
	// Asked last, because it takes a token.
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
	case reached(acc.halfOpen, acc.limits.HalfOpen):
		return HalfOpenDenied
	case reached(acc.open, acc.limits.Open):
		return OpenDenied
	case overPart(c.halfOpen, a.halfOpen.Load(), a.HalfOpen, halfOpenFactor):
		return NodeHalfOpenDenied
	case overPart(c.open, a.open.Load(), a.Open, openFactor):
		return NodeOpenDenied
	default:
		return Admitted
	}
}

func reached(n int64, limit int) bool {
	return limit > 0 && n >= int64(limit)
}

// overPart reports whether used is all that a Customer may have of bound, of
// which all Customers use total. Customers are admitted in parallel, so the
// bound can be passed by as many flows as there are threads, not more.
func overPart(used, total int64, bound int, factor int64) bool {
	return bound > 0 && used >= factor*(int64(bound)-total)
}

// Established notes that a half-open flow is established.
func (acc *Account) Established() {
	c := acc.customer
	c.mu.Lock()
	defer c.mu.Unlock()
	acc.endHalfOpen()
}

// Ended takes a flow of Admit back; established says whether Established was
// called for it.
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
