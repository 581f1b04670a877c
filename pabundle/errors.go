package pabundle

import (
	"fmt"
	"slices"
	"strings"
)

// FieldError is one error in a bundle: a value that is malformed, missing or not allowed.
type FieldError struct {
	// Line and Column (in bytes) are the position in the file, counted from 1; both are 0 if the bundle
	// was not read from a file.
	Line, Column int `json:",omitempty"`
	// Path is the path of the field, such as Services[2].Targets[0].Address; empty for the whole bundle.
	Path string
	// Problem describes the given value and the allowed ones.
	Problem string
}

// String formats the error as one line.
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

// ValidationError reports a bundle that was refused, with all errors found in it.
type ValidationError struct{ Errors []FieldError }

// Error returns a line with the number of errors and one line for each.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Errors)+1)
	lines = append(lines, fmt.Sprintf("bundle refused, faults: %d", len(e.Errors)))
	for _, f := range e.Errors {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// lineIndex converts offsets in a file to lines and columns. It scans the file for line starts only
// once, so that reporting an error in each of millions of blocks takes no longer than reading the file.
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
