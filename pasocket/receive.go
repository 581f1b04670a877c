package pasocket

import (
	"net"
	"syscall"
)

// BoundReceived bounds how much the system receives on each connection that a listener accepts before it is read, to about twice a number
// of bytes, and reports whether it did: not for a listener without a file descriptor, or where the system refuses. Its own bound applies
// then.
func BoundReceived(l net.Listener, bytes int) bool {
	var err error
	return control(l, func(fd int) {
		// Accepted connections take it over.
		err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	}) && err == nil
}
