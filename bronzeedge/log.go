package bronzeedge

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields are the fields of a log line.
type Fields = logrus.Fields

const (
	// logGather is how long lines gather for one write. A line costs a system
	// call otherwise, which is a tenth of a packet's processor time; a process
	// that is killed loses this much of its log.
	logGather = 50 * time.Millisecond
	// logPending bounds the lines that wait for a reader of the output, of some
	// hundred bytes each. Beyond it lines are left out and counted.
	logPending = 512
	// logPerSecond is how many lines of one message are kept in a second.
	// Further ones are counted, and the count is logged.
	logPerSecond = 200
)

// Log writes JSON lines without ever blocking its callers: lines wait in
// memory, and those that are too many are counted in place of being written.
// Lines are put into JSON when they are written, so that a node that starts, or
// takes in many changes, forwards packets first.
type Log struct {
	// logger and formatted are used by the goroutine that writes alone.
	logger    *logrus.Logger
	formatted bytes.Buffer
	out       io.Writer

	mu      sync.Mutex
	pending []line
	wake    chan struct{}
	second  time.Time
	counts  map[string]int
	leftOut map[string]int
	closed  chan struct{}
	done    chan struct{}
}

// line is a line that waits.
type line struct {
	at      time.Time
	level   logrus.Level
	message string
	fields  Fields
}

// NewLog returns a log that writes to out. Close ends it.
func NewLog(out io.Writer) *Log {
	l := &Log{
		logger: logrus.New(), out: out,
		wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{}),
		counts: make(map[string]int), leftOut: make(map[string]int),
	}
	l.logger.SetOutput(&l.formatted)
	l.logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Message",
		},
	})
	go l.write()
	return l
}

// Line writes one line, unless there are too many. The caller must not change
// fields any more.
func (l *Log) Line(message string, fields Fields) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	l.counts[message]++
	if l.counts[message] > logPerSecond || len(l.pending) >= logPending {
		l.leftOut[message]++
		return
	}
	l.pending = append(l.pending, line{at: now, level: logrus.InfoLevel, message: message, fields: fields})
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
	if len(l.leftOut) == 0 || len(l.pending) >= logPending {
		return
	}
	fields := make(Fields, len(l.leftOut))
	for message, n := range l.leftOut {
		fields[message] = n
	}
	clear(l.leftOut)
	l.pending = append(l.pending, line{at: now, level: logrus.WarnLevel, message: "LeftOut", fields: Fields{"Lines": fields}})
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
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	for _, p := range pending {
		l.logger.WithTime(p.at).WithFields(p.fields).Log(p.level, p.message)
	}
	// An output that fails can't be told about; the counters remain.
	_, _ = l.out.Write(l.formatted.Bytes())
	l.formatted.Reset()
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
