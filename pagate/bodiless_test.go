package pagate

import (
	"io"
	"net/http"
	"testing"
)

// Guards against lengths of answers without a body that are changed on the way.
func TestAnswersWithoutABodyKeepTheirLength(t *testing.T) {
	for _, c := range []struct{ method, answer, length string }{
		{http.MethodHead, named("200 OK", "", "Content-Length: 1234\r\n", ""), "1234"},
		{http.MethodGet, named("304 Not Modified", "", "Content-Length: 1234\r\n", ""), ""}, // net/http leaves it out.
		{http.MethodGet, named("204 No Content", "", "", ""), ""},
		{http.MethodPost, named("200 OK", "", "Content-Length: 0\r\n", ""), "0"},
	} {
		for cut := range c.answer {
			if got, whole := answerOf(c.method, c.answer[:cut], io.EOF); whole {
				t.Errorf("%s, cut at byte %d: %+v", c.method, cut, got)
			}
		}
		got, whole := answerOf(c.method, c.answer, io.EOF)
		if !whole || got.body != "" || got.length != c.length || got.stamp != "stamp" {
			t.Errorf("%s: %+v, want the length %q", c.method, got, c.length)
		}
	}
}
