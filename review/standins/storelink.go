package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// storeLink forwards a node's connections to the store. While it is cut, nothing passes,
// and connections stay silent.
type storeLink struct {
	listener net.Listener
	store    string
	cut      atomic.Bool
	// requests counts what the node has sent.
	requests atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func newStoreLink(address, store string) (l *storeLink, err error) {
	l = &storeLink{store: store}
	if l.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	go l.accept()
	return l, nil
}

func (l *storeLink) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", l.store)
		if err != nil {
			_ = conn.Close()
			return
		}
		l.mu.Lock()
		l.conns = append(l.conns, conn, upstream)
		l.mu.Unlock()
		go l.forward(upstream, conn, &l.requests)
		go l.forward(conn, upstream, nil)
	}
}

// forward copies data until a connection is closed. Data that arrives while the link is
// cut waits until the cut ends.
func (l *storeLink) forward(dst io.WriteCloser, src io.ReadCloser, count *atomic.Int64) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	b := make([]byte, 64<<10)
	for {
		n, err := src.Read(b)
		for l.cut.Load() {
			time.Sleep(time.Millisecond)
		}
		if n > 0 && count != nil {
			count.Add(1)
		}
		if _, failed := dst.Write(b[:n]); failed != nil || err != nil {
			return
		}
	}
}

func (l *storeLink) close() {
	l.cut.Store(false)
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}
