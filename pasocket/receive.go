package pasocket

import (
	"net"
	"syscall"
)

// BoundReceived bounds how much the system receives on each connection that a listener accepts before it is read, to about twice a number
// of bytes. It does nothing for a listener without a file descriptor, or where the system refuses: its own bound applies then.
func BoundReceived(l net.Listener, bytes int) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// Accepted connections take it over.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
}
