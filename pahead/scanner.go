package pahead

import (
	"bytes"
	"errors"
)

var (
	// ErrName means that a line of a head has no name, or one that is no token (RFC 9110, section 5.1), such as one with a blank before
	// its colon. Lenient parsers disagree on what such a line says.
	ErrName = errors.New("the name of a header field is no token")
	// ErrFolded means that the first line with a field begins with a blank, or that one does that has a name: a line that begins with a
	// blank continues the one before it (RFC 9112, section 5.2), and a name would be lost in its value.
	ErrFolded = errors.New("a line with a field begins with a blank")
	// ErrValue means that a value has a byte that ends it for some parsers: NUL, or CR without LF.
	ErrValue = errors.New("the value of a header field has a control byte")
	// ErrStart means that the first line is no request line.
	ErrStart = errors.New("the first line is no request line")
)

const (
	// byteCost and lineCost are how many bytes of memory a byte and a line of a head cost at most while its request is served: the bytes
	// as received, as parsed, and as written again; an entry in each of the maps of fields that are made of it, and their growth.
	byteCost = 4
	lineCost = 800
)

// Scanner scans one head. The zero value scans a head of a response.
type Scanner struct {
	// Request says that the head is that of a request. Its lines may be folded, and its first line is checked.
	Request bool
	// Bytes and Lines are what was scanned so far, the first line and the empty one at the end included.
	Bytes, Lines int
	// Fault is the first fault of a head of a request that is scanned to its end all the same: its sender is told of the fault.
	Fault error

	state state
	// carriage says that the last byte of the value was a CR.
	carriage bool
	// start has the beginning of the first line.
	start  [maxStart]byte
	length int
	// last is the last byte of the first line before its end.
	last [len(version)]byte
}

// maxStart is how many bytes are kept of the first line: the method.
const maxStart = 16

// version is the form of the end of a request line.
const version = "HTTP/1.1"

// state is where in a head a Scanner is.
type state int

const (
	inFirstLine state = iota
	atLineStart
	inName
	inValue
	// afterBlank is after a blank at the beginning of a line, and inFolded in what may be a name there.
	afterBlank
	inFolded
	// afterCR is after a CR at the beginning of a line.
	afterCR
	ended
)

// Cost returns how many bytes of memory the head costs at most.
func (s *Scanner) Cost() int64 { return int64(s.Bytes)*byteCost + int64(s.Lines)*lineCost }

// Method reports whether the head is that of a request of a method, as far as it has arrived.
func (s *Scanner) Method(name string) bool {
	return len(name) < maxStart && s.length > len(name) && string(s.start[:len(name)]) == name && s.start[len(name)] == ' '
}

// isInterim reports whether the head is that of an interim response.
func (s *Scanner) isInterim() bool { return s.length > len(version) && s.start[len(version)+1] == '1' }

// Scan scans the next bytes up to the end of the head. It returns how many of them belong to the head, and whether it has ended.
func (s *Scanner) Scan(b []byte) (n int, done bool, err error) {
	for n < len(b) && s.state != ended {
		used, err := s.step(b[n:])
		n += used
		s.Bytes += used
		switch {
		case err == nil:
		case !s.Request || errors.Is(err, ErrStart):
			return n, false, err
		default:
			s.skipLine(b[n-1], err)
		}
	}
	return n, s.state == ended, nil
}

// skipLine passes over the rest of a line with a fault, whose last byte was scanned.
func (s *Scanner) skipLine(last byte, fault error) {
	if s.Fault == nil {
		s.Fault = fault
	}
	if s.state = inValue; last == '\n' {
		s.endLine()
	}
}

// step scans a part of the bytes that belongs to one state, at least one byte.
func (s *Scanner) step(b []byte) (used int, err error) {
	switch s.state {
	case inFirstLine:
		return s.scanFirstLine(b)
	case atLineStart:
		return s.scanLineStart(b[0])
	case inName:
		return s.scanName(b)
	case afterBlank, inFolded:
		return s.scanFolded(b[0])
	case afterCR:
		if b[0] != '\n' {
			return 1, ErrName
		}
		s.endHead()
		return 1, nil
	}
	return s.scanValue(b)
}

func (s *Scanner) endHead() { s.state, s.Lines = ended, s.Lines+1 }

func (s *Scanner) endLine() { s.state, s.carriage, s.Lines = atLineStart, false, s.Lines+1 }

// scanFirstLine scans the first line. That of a response is checked by its parser.
func (s *Scanner) scanFirstLine(b []byte) (int, error) {
	end := bytes.IndexByte(b, '\n')
	line := b
	if end >= 0 {
		line = b[:end]
	}
	s.noteFirstLine(line)
	if end < 0 {
		return len(b), nil
	}
	s.endLine()
	if s.Request && !s.isRequestLine() {
		return end + 1, ErrStart
	}
	return end + 1, nil
}

// noteFirstLine keeps the beginning and the end of the first line.
func (s *Scanner) noteFirstLine(line []byte) {
	line = bytes.TrimSuffix(line, []byte{'\r'})
	if s.length < maxStart {
		copy(s.start[s.length:], line)
	}
	s.length += len(line)
	if len(line) >= len(s.last) {
		copy(s.last[:], line[len(line)-len(s.last):])
		return
	}
	copy(s.last[:], s.last[len(line):])
	copy(s.last[len(s.last)-len(line):], line)
}

// isRequestLine reports whether the first line has the form of a request line: a method, and a version at the end.
func (s *Scanner) isRequestLine() bool {
	const prefix = "HTTP/"
	space := bytes.IndexByte(s.start[:min(s.length, maxStart)], ' ')
	return (space > 0 || space < 0 && s.length > maxStart) && string(s.last[:len(prefix)]) == prefix
}

func (s *Scanner) scanLineStart(b byte) (int, error) {
	switch {
	case b == '\n':
		s.endHead()
	case b == '\r':
		s.state = afterCR
	case b == ' ' || b == '\t':
		if s.Lines == 1 {
			return 1, ErrFolded
		}
		s.state = afterBlank
	case isToken[b]:
		s.state = inName
	default:
		return 1, ErrName
	}
	return 1, nil
}

func (s *Scanner) scanName(b []byte) (int, error) {
	for i, c := range b {
		switch {
		case c == ':':
			s.state = inValue
			return i + 1, nil
		case !isToken[c]:
			return i + 1, ErrName
		}
	}
	return len(b), nil
}

// scanFolded scans the beginning of a line that begins with a blank. What it continues is not to have a name in it, in a response: the
// target meant a field.
func (s *Scanner) scanFolded(b byte) (int, error) {
	switch {
	case b == ':' && s.state == inFolded && !s.Request:
		return 1, ErrFolded
	case isToken[b]:
		s.state = inFolded
		return 1, nil
	case (b == ' ' || b == '\t') && s.state == afterBlank:
		return 1, nil
	}
	s.state = inValue
	return s.scanValue([]byte{b})
}

// scanValue scans a value up to the end of its line.
func (s *Scanner) scanValue(b []byte) (int, error) {
	for i, c := range b {
		switch {
		case c == '\n':
			s.endLine()
			return i + 1, nil
		case s.carriage || c == 0:
			s.carriage = c == '\r'
			return i + 1, ErrValue
		}
		s.carriage = c == '\r'
	}
	return len(b), nil
}

// isToken says which bytes a token may have (RFC 9110, section 5.6.2).
var isToken = func() (all [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		all[c] = true
	}
	return all
}()
