package pasocket

import "syscall"

// control calls f with the file descriptor of a connection or listener, and reports whether it has one that is open.
func control(of any, f func(fd int)) bool {
	s, ok := of.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
