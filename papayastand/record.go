package main

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"

	"papayahead/paevent"
)

// maxTold bounds what is kept of a request that changes a stand-in, in bytes.
const maxTold = 64 << 10

// recorded puts what a stand-in is told to do on its time line, which it serves beside the handler.
// The store's own traffic is no such thing. Paths are compared by hand: a ServeMux answers a path
// without its last slash by a redirect.
func recorded(r *paevent.Recorder, h http.Handler, changes ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == paevent.TimelinePath {
			r.ServeHTTP(w, q)
			return
		}
		changing := slices.ContainsFunc(changes, func(p string) bool { return strings.HasPrefix(q.URL.Path, p) })
		if changing && q.Method != http.MethodGet {
			body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxTold))
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			q.Body = io.NopCloser(bytes.NewReader(body))
			r.Record(paevent.StandInTold{Method: q.Method, Path: q.URL.Path, Body: string(body)})
		}
		h.ServeHTTP(w, q)
	})
}
