package pasocket

import (
	"net"
	"syscall"
)

// BoundReceived bounds how much the system receives on each connection that a listener accepts before it is read, to about twice a number
// of bytes, and reports whether it did: not for a listener without a file descriptor, or where the system refuses. Its own bound applies
// then.
func BoundReceived(l net.Listener, bytes int) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		// Accepted connections take it over.
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	return err == nil && failed == nil
}
