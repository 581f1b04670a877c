package pasocket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a socket whose peer has ended its side in order, and that was not reset since (Linux, TCP_CLOSE_WAIT).
const tcpCloseWait = 8

// PeerHasEnded reports whether the peer of a connection has ended it in order, as far as the system says so.
func PeerHasEnded(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == tcpCloseWait
	})
	return err == nil && ended
}
