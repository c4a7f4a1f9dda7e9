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
	// logFlushDelay is how long lines are collected for one write. One system call a line
	// would take a tenth of a packet's processor time. A process that is killed loses this
	// much of its log.
	logFlushDelay = 50 * time.Millisecond
	// maxPendingLines bounds the lines, of some hundred bytes each, that wait while the
	// output isn't read. Further lines are dropped and counted.
	maxPendingLines = 512
	// maxLinesPerSecond bounds the lines with the same message in one second. Further lines
	// are dropped, and their number is logged.
	maxLinesPerSecond = 200
)

// Log writes JSON lines without blocking its callers. Lines are queued in memory; excess
// lines are dropped and counted. They are formatted by the goroutine that writes them, so
// that a node that starts or applies many changes forwards packets first.
type Log struct {
	// logger and formatted are used only by the writing goroutine.
	logger    *logrus.Logger
	formatted bytes.Buffer
	out       io.Writer

	mu          sync.Mutex
	pending     []line
	wake        chan struct{}
	secondStart time.Time
	counts      map[string]int
	dropped     map[string]int
	closed      chan struct{}
	done        chan struct{}
}

// line is a queued log line.
type line struct {
	at      time.Time
	level   logrus.Level
	message string
	fields  Fields
}

// NewLog returns a Log that writes to out until Close is called.
func NewLog(out io.Writer) *Log {
	l := &Log{
		logger: logrus.New(), out: out,
		wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{}),
		counts: make(map[string]int), dropped: make(map[string]int),
	}
	l.logger.SetOutput(&l.formatted)
	l.logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Message",
		},
	})
	go l.run()
	return l
}

// Line queues a line at level info, or drops it if a limit is reached. The caller must not
// modify fields afterwards.
func (l *Log) Line(message string, fields Fields) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSecond(now)
	l.counts[message]++
	if l.counts[message] > maxLinesPerSecond || len(l.pending) >= maxPendingLines {
		l.dropped[message]++
		return
	}
	l.pending = append(l.pending, line{at: now, level: logrus.InfoLevel, message: message, fields: fields})
	l.wakeWriter()
}

// startSecond begins a new second if the current one is over, and queues a line with the
// numbers of dropped lines if there is room.
func (l *Log) startSecond(now time.Time) {
	if now.Sub(l.secondStart) < time.Second {
		return
	}
	l.secondStart = now
	clear(l.counts)
	if len(l.dropped) == 0 || len(l.pending) >= maxPendingLines {
		return
	}
	fields := make(Fields, len(l.dropped))
	for message, n := range l.dropped {
		fields[message] = n
	}
	clear(l.dropped)
	l.pending = append(l.pending, line{at: now, level: logrus.WarnLevel, message: "LeftOut", fields: Fields{"Lines": fields}})
}

func (l *Log) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run writes pending lines to the output until the log is closed.
func (l *Log) run() {
	defer close(l.done)
	for {
		select {
		case <-l.wake:
			waitOrTimeout(l.closed, logFlushDelay)
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
	// A write error can't be reported here; the metrics remain available.
	_, _ = l.out.Write(l.formatted.Bytes())
	l.formatted.Reset()
}

// Close writes the pending lines and ends the log. It waits at most a second for the
// output.
func (l *Log) Close() {
	close(l.closed)
	waitOrTimeout(l.done, time.Second)
}

func waitOrTimeout(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}
