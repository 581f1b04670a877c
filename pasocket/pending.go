package pasocket

import (
	"net"
	"syscall"
)

// NothingToRead says that neither bytes nor the end of the connection wait to be read. It may be called beside a read
// that waits. Of a connection without a file descriptor nothing is known, and it counts as quiet.
func NothingToRead(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
