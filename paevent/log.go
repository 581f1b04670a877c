package paevent

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// logLine is one JSON line of a process's log.
type logLine struct {
	Process, Event, Stamp string
	Number                Number
	Details               json.RawMessage
	Level                 string `json:"level"`
	Message               string `json:"message"`
}

// maxLogLine is the longest log line accepted, in bytes.
const maxLogLine = 1 << 20

// ReadLog reads records from the logs of one or more processes, in any order. It ignores text before a line's
// JSON, which log collectors add, and lines that are not events; skipped counts those lines. The error is
// that of the reader, or that of a line longer than maxLogLine.
func ReadLog(r io.Reader) (all []Record, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		text := s.Text()
		var l logLine
		if i := strings.IndexByte(text, '{'); i < 0 || json.Unmarshal([]byte(text[i:]), &l) != nil || l.Number == 0 {
			skipped++
			continue
		}
		stamp, err := ParseStamp(l.Stamp)
		if err != nil {
			skipped++
			continue
		}
		all = append(all, Record{
			Stamp: stamp, Process: l.Process, Number: l.Number, Name: l.Event, Level: l.Level, Text: l.Message, Event: l.Details,
		})
	}
	return all, skipped, trace.Wrap(s.Err())
}
