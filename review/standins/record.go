package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what callers, servers, routers and the operator have seen and
// done.
type record struct {
	start time.Time

	mu         sync.Mutex
	lines      bytes.Buffer
	violations int
	served     int
	failed     int
}

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	fmt.Fprintf(&r.lines, "%8.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(&r.lines, format, args...)
	r.lines.WriteByte('\n')
}

// violation adds a line on a broken rule.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
	r.addLocked("BROKEN "+format, args...)
}

// outcome counts a request that was served or not.
func (r *record) outcome(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.served++
	} else {
		r.failed++
	}
}

func (r *record) outcomes() (served, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served, r.failed
}

func (r *record) violationCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked("end: %d requests served, %d not; rule broken %d times", r.served, r.failed, r.violations)
	return os.WriteFile(path, r.lines.Bytes(), 0o644)
}
