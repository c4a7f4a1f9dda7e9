package bronzeedge

import (
	"net/http"
	"time"
)

// readyWait is how long an answer to the question whether this node is ready
// waits for its first view. A router that asks while the node starts sends it
// packets half a second earlier than if it had to ask again.
const readyWait = 400 * time.Millisecond

func (e *Edge) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.adapter.ReadyPath, e.answerReady)
	return mux
}

// answerReady answers 200 if the node takes packets. Once it leaves it never
// does again: a view that arrives later must not bring it back.
func (e *Edge) answerReady(w http.ResponseWriter, r *http.Request) {
	timer := time.NewTimer(readyWait)
	defer timer.Stop()
	select {
	case <-e.firstView:
	case <-e.leaving:
	case <-timer.C:
	case <-r.Context().Done():
	}
	w.WriteHeader(e.readyStatus())
}

func (e *Edge) readyStatus() int {
	if !e.hasView() || e.isLeaving() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
