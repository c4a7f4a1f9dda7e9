package bronzesteer

import (
	"sync"
	"time"
)

// fitness tells whether a node can judge servers: it can't while its link or its
// processor has too much to do. What is sent through it is then late both ways, and
// servers that are well seem silent until their answers come. A node with 10 Mbit/s
// takes 65 ms for each upload of 80 KB: it reset callers' idle flows at a server that
// other nodes had answers from. All methods may be called concurrently.
type fitness struct {
	mu sync.Mutex
	// wrong is when the last servers answered that had been found silent just before.
	wrong [wrongMost]time.Duration
}

const (
	// wrongMost is how many servers may have been found silent wrongly in wrongFor, and
	// wrongBy how soon their answers come that are only late. One packet in forty may be
	// lost now and then, and servers that have crashed are back after seconds.
	wrongMost = 2
	wrongFor  = 2 * time.Second
	wrongBy   = 800 * time.Millisecond
)

// isFit reports whether the node's findings are to be believed.
func (f *fitness) isFit(at time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := f.wrong[0]
	return oldest == 0 || at-oldest >= wrongFor
}

// wasWrong notes that a server has answered that was found silent.
func (f *fitness) wasWrong(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	copy(f.wrong[:], f.wrong[1:])
	f.wrong[wrongMost-1] = at
}
