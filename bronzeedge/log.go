package bronzeedge

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// F are the fields of a log line.
type F = logrus.Fields

const (
	// logGather is how long lines gather for one write. A line costs a system
	// call otherwise, which is a tenth of a packet's processor time; a process
	// that is killed loses this much of its log.
	logGather = 50 * time.Millisecond
	// logPending bounds the lines that wait for a reader of the output, in
	// bytes. Beyond it lines are left out and counted.
	logPending = 256 << 10
	// logPerSecond is how many lines of one message are kept in a second.
	// Further ones are counted, and the count is logged.
	logPerSecond = 200
)

// Log writes JSON lines without ever blocking its callers: lines wait in
// memory, and those that are too many are counted in place of being written.
type Log struct {
	logger *logrus.Logger
	out    io.Writer

	mu      sync.Mutex
	pending bytes.Buffer
	wake    chan struct{}
	second  time.Time
	counts  map[string]int
	leftOut map[string]int
	closed  chan struct{}
	done    chan struct{}
}

// NewLog returns a log that writes to out. Close ends it.
func NewLog(out io.Writer) *Log {
	l := &Log{
		logger: logrus.New(), out: out,
		wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{}),
		counts: make(map[string]int), leftOut: make(map[string]int),
	}
	l.logger.SetOutput(&l.pending) // guarded by mu, like all of pending
	l.logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Message",
		},
	})
	go l.write()
	return l
}

// Line writes one line, unless there are too many.
func (l *Log) Line(message string, fields F) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	l.counts[message]++
	if l.counts[message] > logPerSecond || l.pending.Len() > logPending {
		l.leftOut[message]++
		return
	}
	l.logger.WithTime(now).WithFields(fields).Info(message)
	l.signal()
}

// roll begins a new second, with a line that says what was left out of the
// one before.
func (l *Log) roll(now time.Time) {
	if now.Sub(l.second) < time.Second {
		return
	}
	l.second = now
	clear(l.counts)
	if len(l.leftOut) == 0 || l.pending.Len() > logPending {
		return
	}
	fields := make(F, len(l.leftOut))
	for message, n := range l.leftOut {
		fields[message] = n
	}
	clear(l.leftOut)
	l.logger.WithTime(now).WithField("Lines", fields).Warn("LeftOut")
}

func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// write hands pending lines to the output.
func (l *Log) write() {
	defer close(l.done)
	for {
		select {
		case <-l.wake:
			pauseUntil(l.closed, logGather)
		case <-l.closed:
			l.flush()
			return
		}
		l.flush()
	}
}

func (l *Log) flush() {
	l.mu.Lock()
	lines := bytes.Clone(l.pending.Bytes())
	l.pending.Reset()
	l.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// An output that fails can't be told about; the counters remain.
	_, _ = l.out.Write(lines)
}

// Close writes what is pending, unless nobody reads the output for a second,
// and ends the log.
func (l *Log) Close() {
	close(l.closed)
	pauseUntil(l.done, time.Second)
}

func pauseUntil(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}
