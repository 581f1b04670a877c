package paproxy

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pabundle"
)

// PathPrefix is followed by the service's name and the path at the target.
const PathPrefix = "/Services/"

// Limits on IDs and keys sent by callers; they bound the size of logs and ledgers.
const (
	maxIDLength  = 128
	maxKeyLength = 255
	// maxDeadline is the longest deadline that can be requested; a service's maximum is shorter.
	maxDeadline = 24 * time.Hour
)

// parse validates a caller's request, or returns the refusal for it.
func (p *Proxy) parse(r *http.Request) (*exchange, *refusal) {
	now := p.Clock.Now()
	service, uri, ok := splitPath(r)
	if !ok {
		return nil, reject(ReasonNoService)
	}
	timeouts, ok := p.Services.Timeouts(service)
	if !ok {
		return nil, reject(ReasonNoService)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, reject(ReasonMethod)
	}
	if !r.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 caller can't distinguish a truncated response of unknown length from a complete
		// one.
		return nil, reject(ReasonBadRequest)
	}
	if hasAmbiguousFraming(r) {
		return nil, reject(ReasonFraming)
	}
	if limit := p.Limits.MaxBody; limit > 0 && r.ContentLength > limit {
		return nil, reject(ReasonTooLarge)
	}
	request := Request{Service: service, Method: r.Method, Arrived: now, Size: r.ContentLength, Caller: callerAddress(r)}
	if !parseIdentity(r.Header, &request) || !parseDeadline(r.Header, timeouts, &request) {
		return nil, reject(ReasonBadRequest)
	}
	if request.ID == "" {
		request.ID = p.NewID()
	}
	request.Digest = requestDigest(r.Method, uri, r.ContentLength)
	request.Safe, request.Idempotent = semantics(r.Method)
	return newExchange(r, request, uri), nil
}

// newExchange returns the exchange of a parsed request, without its body.
func newExchange(r *http.Request, request Request, uri string) *exchange {
	x := &exchange{request: request, header: endToEnd(r.Header), uri: uri, host: r.Host}
	x.header.Del(KeyHeader)
	if request.Key != "" {
		x.header.Set(KeyHeader, request.Key)
	}
	x.expect = x.header.Get("Expect") != ""
	x.header.Del("Expect")
	x.header.Del("Content-Length")
	for name := range r.Trailer {
		x.trailerNames = append(x.trailerNames, name)
	}
	return x
}

func reject(reason Reason) *refusal { return &refusal{outcome: NotRun, reason: reason} }

// splitPath returns the service's name and the path and query for the target.
func splitPath(r *http.Request) (pabundle.ServiceName, string, bool) {
	path := r.URL.EscapedPath()
	rest, ok := strings.CutPrefix(path, PathPrefix)
	if !ok {
		return "", "", false
	}
	name, tail, _ := strings.Cut(rest, "/")
	if name == "" || len(name) > maxIDLength || !isToken(name) {
		return "", "", false
	}
	uri := "/" + tail
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	return pabundle.ServiceName(name), uri, true
}

// parseIdentity parses the request's ID and idempotency key. It returns false if one is malformed
// or repeated.
func parseIdentity(h http.Header, r *Request) bool {
	id, ok := singleValue(h, RequestIDHeader)
	if !ok || len(id) > maxIDLength || !isToken(id) {
		return false
	}
	key, ok := singleValue(h, KeyHeader)
	if !ok || len(key) > maxKeyLength || !isVisible(key) {
		return false
	}
	r.ID, r.Key = RequestID(id), key
	return parseCopyHeaders(h, r)
}

// parseCopyHeaders parses the headers about earlier copies of a keyed request. It returns false if
// one is malformed or repeated.
func parseCopyHeaders(h http.Header, r *Request) bool {
	sent, ok := singleValue(h, FirstSentHeader)
	if !ok {
		return false
	}
	if sent != "" {
		ms, err := strconv.ParseInt(sent, 10, 64)
		if err != nil || ms <= 0 {
			return false
		}
		r.FirstSent = time.UnixMilli(ms)
	}
	repeat, ok := singleValue(h, RepeatHeader)
	r.Repeat = repeat == "true"
	return ok && (repeat == "" || r.Repeat)
}

// requestDigest returns a digest that distinguishes different requests with the same key.
func requestDigest(method, uri string, length int64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + uri + " " + strconv.FormatInt(length, 10))
	return d.Sum64()
}

// parseDeadline sets the deadline: the caller's, limited by the service's maximum, or the service's
// default. It returns false if the field is malformed or repeated.
func parseDeadline(h http.Header, t Timeouts, r *Request) bool {
	text, ok := singleValue(h, DeadlineHeader)
	if !ok {
		return false
	}
	left := t.Default
	if text != "" {
		ms, err := strconv.ParseUint(text, 10, 63)
		if err != nil || ms == 0 {
			return false
		}
		left = maxDeadline
		if ms < uint64(maxDeadline/time.Millisecond) {
			left = time.Duration(ms) * time.Millisecond
		}
	}
	if t.Max > 0 {
		left = min(left, t.Max)
	}
	r.Deadline = r.Arrived.Add(left)
	return true
}

// singleValue returns the field's value, or "" if it is absent. It returns false if there are
// several values.
func singleValue(h http.Header, name string) (string, bool) {
	values := h.Values(name)
	switch len(values) {
	case 0:
		return "", true
	case 1:
		return values[0], true
	default:
		return "", false
	}
}

// isToken reports whether all bytes are letters, digits or one of "-._:", which need no escaping in
// headers, paths and logs.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("-._:", rune(c)) {
			return false
		}
	}
	return true
}

// isVisible reports whether all bytes are visible ASCII.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// semantics reports whether a method is safe and whether it is idempotent (RFC 9110, section 9.2).
func semantics(method string) (safe, idempotent bool) {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true, true
	case http.MethodPut, http.MethodDelete:
		return false, true
	default:
		return false, false
	}
}

// callerAddress returns the caller's address; zero if the connection has none.
func callerAddress(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}
