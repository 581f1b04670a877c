package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line each, with the time since its start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, arguments...)
	r.out.WriteByte('\n')
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.out.Flush()
	r.file.Close()
}
