package pabundle

import (
	"fmt"
	"slices"
	"strings"
)

// FieldError is one thing that is wrong with a bundle.
type FieldError struct {
	// Line and Column are the place in the file, counted from 1 in lines and bytes; 0 where the
	// bundle was not read from a file.
	Line, Column int `json:",omitempty"`
	// Path is the place in the bundle, such as Services[2].Targets[0].Address; empty for all of it.
	Path string
	// Problem says what was given and what is allowed.
	Problem string
}

// String returns the fault as one line.
func (f FieldError) String() string {
	path := f.Path
	if path == "" {
		path = "bundle"
	}
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", path, f.Problem)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, path, f.Problem)
}

// ValidationError is a bundle that was refused, with everything that is wrong with it.
type ValidationError struct{ Errors []FieldError }

// Error returns one line for each fault.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Errors)+1)
	lines = append(lines, fmt.Sprintf("bundle refused, faults: %d", len(e.Errors)))
	for _, f := range e.Errors {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// lineIndex finds places in a file; the line starts are looked up once, so that a file with a fault in
// each of millions of blocks is reported in the time of reading it.
type lineIndex struct {
	data   []byte
	starts []int
}

// position returns the line and column of an offset, counted from 1.
func (l *lineIndex) position(offset int) (line, column int) {
	if l.starts == nil {
		l.starts = []int{0}
		for i, b := range l.data {
			if b == '\n' {
				l.starts = append(l.starts, i+1)
			}
		}
	}
	n, exact := slices.BinarySearch(l.starts, offset)
	if !exact {
		n--
	}
	return n + 1, offset - l.starts[n] + 1
}
