package pasocket

import (
	"net"
	"syscall"
)

// NothingToRead reports whether neither data nor EOF is pending on a connection's socket. It peeks, so that it can be
// called during a blocked read. It returns true for a connection without a file descriptor, and false if the socket
// can't be read.
func NothingToRead(c net.Conn) bool {
	if _, ok := c.(syscall.Conn); !ok {
		return true
	}
	empty := false
	var b [1]byte
	return control(c, func(fd int) {
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
	}) && empty
}
