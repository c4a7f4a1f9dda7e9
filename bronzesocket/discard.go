package bronzesocket

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// maxDiscard bounds the datagrams that one Discard drops. The kernel's buffer holds no
// more, and those that arrive meanwhile are new.
const maxDiscard = 8192

// Discard drops the datagrams that wait in the socket and returns their number.
func (s *Socket) Discard() (n int, err error) { return Discard(s.conn) }

// Discard drops the datagrams that wait in a socket and returns their number. It doesn't
// wait for any to arrive.
func Discard(c syscall.Conn) (n int, err error) {
	defer func() { err = errors.Wrap(err, "discard datagrams") }()
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	b := make([]byte, 1)
	err = raw.Control(func(fd uintptr) {
		for n < maxDiscard {
			if _, _, failed := unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT); failed != nil {
				return
			}
			n++
		}
	})
	return n, err
}
