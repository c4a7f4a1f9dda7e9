package bronzeedge

import (
	"net/http"
	"time"
)

// readyWait is how long a readiness check waits for the first view. A router that asks
// while the node starts then sends it packets half a second earlier than if it had to ask
// again.
const readyWait = 400 * time.Millisecond

func (e *Edge) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.adapter.ReadyPath, e.serveReady)
	return mux
}

// serveReady responds with 200 if the node takes packets. After Leave it never does again,
// even if a view arrives later.
func (e *Edge) serveReady(w http.ResponseWriter, r *http.Request) {
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
