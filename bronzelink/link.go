package bronzelink

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// livenessChecks is the number of times that a link is checked in one liveness
// deadline.
const livenessChecks = 3

// Reasons for closing a link that are no failures.
var (
	errIdle      = errors.New("link is idle")
	errDuplicate = errors.New("there is another link to the peer")
	errFinished  = errors.New("link is finished")
)

// link is a connection to a peer, or an attempt to open one.
type link struct {
	mesh  *Mesh
	queue chan []byte
	done  chan struct{} // closed when the link has ended
	flush chan struct{} // closed to make the writer empty the queue and stop

	endOnce    sync.Once
	finishOnce sync.Once
	err        error // set before done is closed

	// Set by the handshake, before register.
	conn       *websocket.Conn
	raw        *countedConn
	peer       Member
	version    uint8
	dialer     string
	opened     time.Time
	registered bool // guarded by Mesh.mu

	mu          sync.Mutex
	lastMessage time.Time // the last message in either direction
}

func (m *Mesh) newLink() *link {
	return &link{
		mesh:  m,
		queue: make(chan []byte, orDefault(m.QueueLength, DefaultQueueLength)),
		done:  make(chan struct{}),
		flush: make(chan struct{}),
	}
}

// push queues an encoded message. A peer that doesn't read fills only its own
// queue, so it delays no other peer. Messages that don't fit are dropped; a
// sender that needs an answer repeats its request.
func (l *link) push(b []byte) error {
	select {
	case l.queue <- b:
		return nil
	default:
		l.mesh.count(CountQueueFull)
		return ErrQueueFull
	}
}

// moveTo moves the queued messages to the link other.
func (l *link) moveTo(other *link) {
	for {
		select {
		case b := <-l.queue:
			_ = other.push(b)
		default:
			return
		}
	}
}

// end ends the link because of err. Only the first call has an effect.
func (l *link) end(err error) {
	l.endOnce.Do(func() {
		l.err = err
		close(l.done)
	})
}

// finish makes the writer send what is queued and then end the link.
func (l *link) finish() { l.finishOnce.Do(func() { close(l.flush) }) }

// retire ends the link after duplicateGrace, so that messages in flight arrive.
func (l *link) retire() {
	time.AfterFunc(duplicateGrace, func() { l.end(errDuplicate) })
}

// touch records that a message is sent or received.
func (l *link) touch() {
	l.mu.Lock()
	l.lastMessage = time.Now()
	l.mu.Unlock()
}

func (l *link) lastUsed() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastMessage
}

// run carries messages over l until it ends, and then closes it.
func (m *Mesh) run(l *link) {
	if err := m.register(l); err != nil {
		l.end(err)
		_ = l.conn.CloseNow()
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { l.end(l.write(ctx)) })
	tasks.Go(func() { l.end(l.read(ctx)) })
	tasks.Go(func() { l.end(l.watch(ctx)) })
	<-l.done
	current := m.removeLink(l.peer.Name, l)
	m.close(l, current)
	cancel()
	tasks.Wait()
}

// close closes the connection of l. Timeouts are counted. If l was the peer's
// current link, its loss is reported to OnLost, unless it was closed normally.
func (m *Mesh) close(l *link, current bool) {
	switch {
	case errors.Is(l.err, errIdle), errors.Is(l.err, errDuplicate), errors.Is(l.err, errFinished):
		_ = l.conn.Close(websocket.StatusNormalClosure, l.err.Error())
		return
	case errors.Is(l.err, ErrSilent):
		m.count(CountSilent)
	case errors.Is(l.err, ErrWriteTimeout):
		m.count(CountWriteTimeout)
	}
	_ = l.conn.CloseNow()
	if current && websocket.CloseStatus(l.err) != websocket.StatusNormalClosure {
		m.reportLost(l.peer.Name, l.err)
	}
}

// write sends queued messages until the link ends.
func (l *link) write(ctx context.Context) (err error) {
	for {
		select {
		case b := <-l.queue:
			err = l.writeOne(ctx, b)
		case <-l.flush:
			return l.writeRest(ctx)
		case <-l.done:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeRest sends what is queued and then ends the link.
func (l *link) writeRest(ctx context.Context) error {
	for {
		select {
		case b := <-l.queue:
			if err := l.writeOne(ctx, b); err != nil {
				return err
			}
		default:
			return errFinished
		}
	}
}

// writeOne sends one message. The timeout ends the link of a peer that has
// stopped reading, for which the writer would otherwise wait forever.
func (l *link) writeOne(ctx context.Context, b []byte) error {
	timer := time.AfterFunc(l.mesh.writeTimeout(), func() { l.end(ErrWriteTimeout) })
	defer timer.Stop()
	l.touch()
	return l.conn.Write(ctx, websocket.MessageBinary, b)
}

// read passes received messages to OnMessage until the link ends.
func (l *link) read(ctx context.Context) error {
	for {
		_, b, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		l.touch()
		msg, err := Decode(b)
		if err != nil {
			l.mesh.count(CountBadMessage)
			return err
		}
		if l.mesh.OnMessage != nil {
			l.mesh.OnMessage(l.peer.Name, msg)
		}
	}
}

// watch ends the link when it is idle or silent. If a device between the two
// ends loses the state of a connection, TCP keeps it open for hours while
// messages are lost. A peer that is alive answers a ping, so a liveness deadline
// without any bytes from it means that the link has failed.
func (l *link) watch(ctx context.Context) error {
	deadline := l.mesh.liveness()
	ticker := time.NewTicker(deadline / livenessChecks)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-l.done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := time.Now()
		late := now.Sub(last) > deadline/livenessChecks*2
		last = now
		silence := now.Sub(l.raw.lastRead())
		switch {
		case now.Sub(l.lastUsed()) > l.mesh.idle():
			return errIdle
		case silence > deadline && !late:
			return ErrSilent
		case silence > deadline/livenessChecks:
			go l.ping(ctx, deadline)
		}
	}
}

// ping sends a ping to the peer. Its answer is noticed as received bytes.
func (l *link) ping(ctx context.Context, deadline time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	_ = l.conn.Ping(ctx)
}
