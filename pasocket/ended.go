package pasocket

import (
	"net"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a socket whose peer has ended its side in order, and that was not reset since (Linux, TCP_CLOSE_WAIT).
const tcpCloseWait = 8

// PeerHasEnded reports whether the peer of a connection has ended it in order, as far as the system says so.
func PeerHasEnded(c net.Conn) bool {
	ended := false
	return control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == tcpCloseWait
	}) && ended
}
