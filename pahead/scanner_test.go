package pahead

import (
	"errors"
	"strings"
	"testing"
)

// scan gives a head to a Scanner in pieces, and returns how many of its bytes belong to the head.
func scan(s *Scanner, head string, piece int) (n int, done bool, err error) {
	for n < len(head) && !done && err == nil {
		var used int
		used, done, err = s.Scan([]byte(head[n:min(len(head), n+piece)]))
		n += used
	}
	return n, done, err
}

// Guards against a head whose end is found elsewhere if it arrives in pieces, and against names that are passed on as others read them.
func TestScanner(t *testing.T) {
	for _, c := range []struct {
		head    string
		request bool
		want    error
	}{
		{"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 3\r\n\r\n", false, nil},
		{"HTTP/1.1 200 OK\nA:1\n\n", false, nil},
		{"HTTP/1.1 200 OK\r\n\r\n", false, nil},
		{"HTTP/1.1 200 OK\r\nA: b\tc \x80\r\n\r\n", false, nil},
		{"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", false, ErrName},
		{"HTTP/1.1 200 OK\r\nX-Odd : 1\r\n\r\n", false, ErrName},
		{"HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\n\r\n", false, ErrName},
		{"HTTP/1.1 200 OK\r\nX-Odd\x7f: 1\r\n\r\n", false, ErrName},
		{"HTTP/1.1 200 OK\r\n: 1\r\n\r\n", false, ErrName},
		{"HTTP/1.1 200 OK\r\nnothing\r\n\r\n", false, ErrName},
		{"HTTP/1.1 200 OK\r\n\rA: 1\r\n\r\n", false, ErrName},
		{"HTTP/1.1 200 OK\r\n X-Odd: 1\r\n\r\n", false, ErrFolded},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n\tmore\r\n\r\n", false, nil},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n \r\n  \"more\": 1\n\r\n", false, nil},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n  X-Odd: 1\r\n\r\n", false, ErrFolded},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n X-Odd : 1\r\n\r\n", false, nil},
		{"HTTP/1.1 200 OK\r\nA: 1\rB: 2\r\n\r\n", false, ErrValue},
		{"HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n", false, ErrValue},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true, nil},
		{"GET / HTTP/1.0\n\n", true, nil},
		{"VERSION-CONTROL-OF-SOMETHING / HTTP/1.1\r\n\r\n", true, nil},
		{"PRI * HTTP/2.0\r\n\r\n", true, nil},
		{"GET / HTTP/1.1\r\nA: 1\r\n more\r\n\r\n", true, nil},
		{"GET / HTTP/1.1\r\n A: 1\r\n\r\n", true, ErrFolded},
		{"GET / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n", true, ErrName},
		{"GET / HTTP/1.1\r\nA: 1\r2\r\n\r\n", true, ErrValue},
		{"GET / HTTP/1.1\r\n\rA: 1\r\nB\n\r\n", true, ErrName},
		{"\r\n", true, ErrStart},
		{"GET /\r\n", true, ErrStart},
		{"\x16\x03\x01\x02\n", true, ErrStart},
	} {
		for piece := 1; piece <= len(c.head); piece++ {
			s := Scanner{Request: c.request}
			n, done, err := scan(&s, c.head+"GET", piece)
			if s.Fault != nil && done {
				if n != len(c.head) {
					t.Fatalf("%q by %d: %d bytes belong to it", c.head, piece, n)
				}
				done, err = false, s.Fault
			}
			if !errors.Is(err, c.want) || done != (c.want == nil) {
				t.Fatalf("%q by %d: ended %v, %v, want %v", c.head, piece, done, err, c.want)
			}
			if lines := strings.Count(c.head, "\n"); done && (n != len(c.head) || s.Bytes != n || s.Lines != lines) {
				t.Fatalf("%q by %d: %d bytes belong to it, %d and %d lines counted", c.head, piece, n, s.Bytes, s.Lines)
			}
			if c.request && done && strings.HasPrefix(c.head, "GET ") != s.Method("GET") {
				t.Fatalf("%q by %d: wrong method", c.head, piece)
			}
		}
	}
}
