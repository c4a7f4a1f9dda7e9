package bronzeroom

import (
	"sync"
	"time"
)

const (
	// minSample and maxSample bound the requests of a sample, sampleSpan is the time within
	// which they are begun, and sampleInterval the least time between two samples.
	minSample      = 16
	maxSample      = 64
	sampleSpan     = time.Second
	sampleInterval = 250 * time.Millisecond
	// sampleTimeout is how long a sample waits for answeredPart of its requests to be answered.
	// After that, half of them suffice: the others are at servers that have failed, or their
	// answers are acknowledged late.
	sampleTimeout = 5 * time.Second
	answeredPart  = 0.9
	// usualSpan is how long the lowest mean counts at least. A pool that has answered late for
	// all of up to twice this time without being full is taken to have become slower.
	usualSpan = 15 * time.Second
	// calmRatio is how much higher than the lowest a mean may be that counts, and meanWeight
	// the weight of one in the average. The lowest of many means alone is well below the true
	// one by chance.
	calmRatio  = 1.3
	meanWeight = 0.15
)

// Usual learns the mean time from a request to its acknowledgement at servers with free slots,
// from the means of samples of requests. Waiting only adds to a mean, so that those near the
// lowest recent one come from times without load. A sample consists of requests begun one after
// another, not of answers: the first answers after the begin of a surge are those to the shortest
// requests. The zero Usual works. All methods may be called concurrently and cost no allocation.
type Usual struct {
	mu sync.Mutex
	// id is that of the present sample, which was opened at opened and has joined requests, 0
	// if there was none.
	id     uint32
	opened time.Duration
	done   bool
	joined int
	// answered is the number of its requests that were answered, sum that of their times, and
	// longest the longest of these.
	answered     int
	sum, longest time.Duration
	// lowest is the lowest mean of the present span, former that of the one before, 0 if
	// unknown. average is what Time returns.
	lowest, former time.Duration
	average        time.Duration
	start          time.Duration // of the present span
}

// Begin counts a request and returns the sample that it belongs to, 0 if none.
func (u *Usual) Begin(at time.Duration) (sample uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.update(at)
	age := at - u.opened
	if !u.done && age >= sampleTimeout && 2*u.answered >= minSample && 2*u.answered >= u.joined {
		u.take(u.sum/time.Duration(u.answered), at)
	}
	if u.id == 0 || u.done && age >= sampleInterval || age >= sampleTimeout {
		u.id = max(u.id+1, 1)
		u.opened, u.done, u.joined, u.answered, u.sum, u.longest = at, false, 0, 0, 0, 0
	}
	if u.done || !u.joinable(at) {
		return 0
	}
	u.joined++
	return u.id
}

// Answered learns from the answer to a request of a sample, which took the given time.
func (u *Usual) Answered(sample uint32, took, at time.Duration) {
	if sample == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if sample != u.id || u.done {
		return
	}
	u.answered++
	u.sum += took
	u.longest = max(u.longest, took)
	u.update(at)
}

// joinable reports whether requests that begin now belong to the present sample. The first sample
// is as small as possible, since a node may start while its pool becomes overloaded.
func (u *Usual) joinable(at time.Duration) bool {
	return u.joined < minSample || u.id > 1 && u.joined < maxSample && at-u.opened < sampleSpan
}

// update takes the mean of the present sample once enough of its requests are answered. The others
// count like the longest.
func (u *Usual) update(at time.Duration) {
	if u.done || u.joined == 0 || u.joinable(at) || float64(u.answered) < answeredPart*float64(u.joined) {
		return
	}
	u.take((u.sum+time.Duration(u.joined-u.answered)*u.longest)/time.Duration(u.joined), at)
}

// take ends the present sample, whose mean is given.
func (u *Usual) take(mean, at time.Duration) {
	u.done = true
	if at-u.start >= usualSpan {
		u.former, u.lowest, u.start = u.lowest, 0, at
	}
	if u.lowest == 0 || mean < u.lowest {
		u.lowest = mean
	}
	lowest := u.lowest
	if u.former > 0 {
		lowest = min(lowest, u.former)
	}
	highest := time.Duration(calmRatio * float64(lowest))
	switch {
	case u.average == 0:
		u.average = mean
	case mean <= highest:
		u.average += time.Duration(meanWeight * float64(mean-u.average))
	}
	u.average = min(max(u.average, lowest), highest)
}

// Dropped takes a request out of its sample, because its answer was acknowledged too late to
// tell how long it took.
func (u *Usual) Dropped(sample uint32, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if sample == 0 || sample != u.id || u.done {
		return
	}
	u.joined--
	u.update(at)
}

// Hold tells that the pool is full: what is known counts for another span. Otherwise a lasting
// overload would be learned as the usual time, and hide the wait that it is refused for.
func (u *Usual) Hold(at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.start = max(u.start, at)
}

// Time returns the usual time, 0 if it is unknown.
func (u *Usual) Time() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.average
}
