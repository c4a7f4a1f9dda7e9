package bronzesocket

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// discardMost bounds what Discard drops, in datagrams: more don't fit into the kernel's
// buffer, and those that come meanwhile are new.
const discardMost = 8192

// Discard drops the datagrams that wait in the socket and returns how many they were.
func (s *Socket) Discard() (n int, err error) { return Discard(s.conn) }

// Discard drops the datagrams that wait in a socket and returns how many they were. It
// doesn't wait for any.
func Discard(c syscall.Conn) (n int, err error) {
	defer func() { err = errors.Wrap(err, "discard datagrams") }()
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	b := make([]byte, 1)
	err = raw.Control(func(fd uintptr) {
		for n < discardMost {
			if _, _, failed := unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT); failed != nil {
				return
			}
			n++
		}
	})
	return n, err
}
