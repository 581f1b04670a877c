package paheader

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// statusLine is the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// HasTwoHeads reports whether a line of the head of a response ends in a status line.
//
// A target that breaks a response off in a line of its head, and sends another one on the connection, has sent one head by its form: the
// status of the first response, or a part of a header value, with all that follows of the second one.
func HasTwoHeads(r *http.Response) bool {
	if isTwoLines(r.Status) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, isTwoLines) {
			return true
		}
	}
	return false
}

// isTwoLines reports whether a line contains a status line. Few contain the text that is looked for first.
func isTwoLines(line string) bool {
	return strings.Contains(line, "HTTP/1.") && statusLine.MatchString(line)
}
