package pagate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"papayahead/paheader"
	"papayahead/palane"
	"papayahead/paroute"
	"papayahead/pasteer"
)

// exchange is one request of a caller on its way.
type exchange struct {
	id     string
	method string
	uri    string
	host   string
	header http.Header
	route  *paroute.Route
	// workspace is whose key the request carried; nil for none.
	workspace *paroute.Workspace
	// token says that the request has a token of the workspace's rate limit.
	token bool
	// limited is how long it waited for that.
	limited time.Duration
	service string
	object  string
	version int64
	// size is the length of the body, or -1; body is what is held of it, stream what follows.
	size   int64
	body   []byte
	stream io.Reader
	// arrived is when the head was read, limit when the answer is due: by the route, or as the caller leaves.
	arrived time.Time
	limit   time.Time
	// tried are the targets that the request was sent to; mayHaveRun says that one may have run it.
	tried      []string
	mayHaveRun bool
	failed     *reply
	// last is the last decision, for the log.
	last pasteer.Choice
	// caller ends when the caller leaves.
	caller context.Context
	// lane knows of the requests ahead on the caller's connection; behind is how long the answer was ready, or
	// the request waited, behind theirs.
	lane   *palane.Lane
	behind time.Duration
}

func (x *exchange) inline() bool { return x.stream == nil && len(x.body) <= inlineMost }

// serveCaller answers one request of a caller.
func (g *Gate) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := g.open(r)
	s := g.configured(r.Context())
	if s.table == nil {
		g.refuse(w, x, reasonNoConfig, comeBackNoConfig)
		return
	}
	x.version = s.table.Config.Version
	if x.route = s.table.Match(r.Host, path(r.RequestURI)); x.route == nil {
		g.answerOwn(w, x, http.StatusNotFound, reasonNoRoute)
		return
	}
	if status, reason := g.admitKey(x, s); status != 0 {
		g.refuseKey(w, x, status, reason)
		return
	}
	if most := s.table.Config.Limits.MaxHeader; most > 0 && headerSize(r) > most {
		g.answerOwn(w, x, http.StatusRequestHeaderFieldsTooLarge, reasonHeader)
		return
	}
	if status, reason := g.readBody(x, r, s.table.Config.Limits); status != 0 {
		g.readOn(w, r)
		g.answerOwn(w, x, status, reason)
		return
	}
	x.limit = g.limitOf(x, r)
	if !g.mayFinish(x) {
		g.refuse(w, x, reasonLeaving, comeBackLeaving)
		return
	}
	if !g.mayRun(w, x) {
		return
	}
	if comeBack, ok := g.limits.admit(x, s); !ok {
		g.refuseAs(w, x, http.StatusTooManyRequests, reasonLimit, comeBack)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	g.serve(ctx, w, x)
}

// open reads the head of a request.
func (g *Gate) open(r *http.Request) *exchange {
	x := &exchange{
		id: r.Header.Get(g.config.Headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host,
		header: paheader.EndToEnd(r.Header), size: r.ContentLength, arrived: g.config.Clock.Now(),
		caller: r.Context(), lane: palane.FromContext(r.Context()),
	}
	if c, err := r.Cookie(g.config.Headers.ObjectCookie); err == nil {
		x.object = c.Value
	}
	return x
}

func path(uri string) string {
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// lineExtra is what a header line has besides its name and value: a colon, a space and the line's end.
const lineExtra = 4

// headerSize returns the size of a request's head, in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineExtra + len("Host") + len(r.Host) + lineExtra
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineExtra
		}
	}
	return n
}

// readBody reads the body as far as it is held; a status is the answer to a request that is refused for it.
func (g *Gate) readBody(x *exchange, r *http.Request, l paroute.Limits) (status int, reason string) {
	if l.MaxBody > 0 && r.ContentLength > l.MaxBody {
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	}
	if r.ContentLength == 0 {
		return 0, ""
	}
	body := io.Reader(r.Body)
	if l.MaxBody > 0 {
		body = http.MaxBytesReader(nil, r.Body, l.MaxBody)
	}
	held, err := io.ReadAll(io.LimitReader(body, bufferMost+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	case err != nil:
		return http.StatusBadRequest, reasonBadBody
	}
	x.body = held
	if len(held) > bufferMost {
		x.stream = body
	}
	return 0, ""
}

const (
	// readOnMost and readOnTime bound what is read of a body that is refused.
	readOnMost = 4 << 20
	readOnTime = time.Second
)

// readOn reads a refused body on for a while. A connection that is closed with unread bytes is reset,
// and the caller, still writing, loses the answer that tells it why.
func (g *Gate) readOn(w http.ResponseWriter, r *http.Request) {
	if err := http.NewResponseController(w).SetReadDeadline(g.config.Clock.Now().Add(readOnTime)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, readOnMost); err != nil {
		return // The body ended, or its caller is too slow; the answer is the same.
	}
}

// limitOf returns when the answer is due: by the route's timeout, or when the caller leaves.
func (g *Gate) limitOf(x *exchange, r *http.Request) time.Time {
	wait := x.route.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(g.config.Headers.Deadline), 64); err == nil && ms > 0 {
		if d := time.Duration(ms * float64(time.Millisecond)); d < wait || wait <= 0 {
			wait = d
		}
	}
	return x.arrived.Add(wait)
}
