package pasocket

import (
	"net"
	"syscall"
)

// NothingToRead reports whether neither data nor EOF is pending on a connection's socket. It peeks, so that it can be
// called during a blocked read. It returns true for a connection without a file descriptor, and false if the socket
// can't be read.
func NothingToRead(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
	})
	return err == nil && empty
}
