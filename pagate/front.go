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
	// hasToken says that the request has a hasToken of the workspace's rate limit.
	hasToken bool
	// limitWait is how long it waited for that.
	limitWait time.Duration
	service string
	object  string
	version int64
	// size is the length of the body, or -1; body is what is held of it, stream what follows.
	size   int64
	buffered   []byte
	unbuffered io.Reader
	// arrived is when the head was read, limit when the answer is due: by the route, or as the caller leaves.
	arrived time.Time
	deadline   time.Time
	// tried are the targets that the request was sent to; mayHaveRun says that one may have run it.
	tried      []string
	mayHaveExecuted bool
	failedReply     *reply
	// lastChoice is the lastChoice decision, for the log.
	lastChoice pasteer.Choice
	// caller ends when the caller leaves.
	caller context.Context
	// lane knows of the requests ahead on the caller's connection; behind is how long the answer was ready, or
	// the request waited, behind theirs.
	lane   *palane.Lane
	pipelineWait time.Duration
}

func (x *exchange) inline() bool { return x.unbuffered == nil && len(x.buffered) <= maxInlineWrite }

// serveCaller answers one request of a caller.
func (g *Gate) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := g.newExchange(r)
	s := g.awaitConfig(r.Context())
	if s.table == nil {
		g.refuse(w, x, reasonNoConfig, retryAfterNoConfig)
		return
	}
	x.version = s.table.Config.Version
	if x.route = s.table.Match(r.Host, requestPath(r.RequestURI)); x.route == nil {
		g.writeError(w, x, http.StatusNotFound, reasonNoRoute)
		return
	}
	if status, reason := g.authenticate(x, s); status != 0 {
		g.refuseAuthentication(w, x, status, reason)
		return
	}
	if most := s.table.Config.Limits.MaxHeader; most > 0 && headerSize(r) > most {
		g.writeError(w, x, http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge)
		return
	}
	if status, reason := g.readBody(x, r, s.table.Config.Limits); status != 0 {
		g.discardBody(w, r)
		g.writeError(w, x, status, reason)
		return
	}
	x.deadline = g.deadlineOf(x, r)
	if !g.canFinish(x) {
		g.refuse(w, x, reasonShuttingDown, retryAfterShutdown)
		return
	}
	if !g.admitPipelined(w, x) {
		return
	}
	if comeBack, ok := g.quotas.admit(x, s); !ok {
		g.refuseWithStatus(w, x, http.StatusTooManyRequests, reasonRateLimit, comeBack)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(g.requests, cancel)()
	g.forward(ctx, w, x)
}

// newExchange reads the head of a request.
func (g *Gate) newExchange(r *http.Request) *exchange {
	x := &exchange{
		id: r.Header.Get(g.config.Headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host,
		header: paheader.EndToEnd(r.Header), size: r.ContentLength, arrived: g.config.Clock.Now(),
		caller: r.Context(), lane: palane.Of(r.Context()),
	}
	if c, err := r.Cookie(g.config.Headers.ObjectCookie); err == nil {
		x.object = c.Value
	}
	return x
}

func requestPath(uri string) string {
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// headerLineOverhead is what a header line has besides its name and value: a colon, a space and the line's end.
const headerLineOverhead = 4

// headerSize returns the size of a request's head, in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead + len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
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
	held, err := io.ReadAll(io.LimitReader(body, maxBuffered+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	case err != nil:
		return http.StatusBadRequest, reasonBadBody
	}
	x.buffered = held
	if len(held) > maxBuffered {
		x.unbuffered = body
	}
	return 0, ""
}

const (
	// maxDiscardedBody and readOnTime bound what is read of a body that is refused.
	maxDiscardedBody = 4 << 20
	discardTimeout = time.Second
)

// discardBody reads a refused body on for a while. A connection that is closed with unread bytes is reset,
// and the caller, still writing, loses the answer that tells it why.
func (g *Gate) discardBody(w http.ResponseWriter, r *http.Request) {
	if err := http.NewResponseController(w).SetReadDeadline(g.config.Clock.Now().Add(discardTimeout)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardedBody); err != nil {
		return // The body ended, or its caller is too slow; the answer is the same.
	}
}

// deadlineOf returns when the answer is due: by the route's timeout, or when the caller leaves.
func (g *Gate) deadlineOf(x *exchange, r *http.Request) time.Time {
	wait := x.route.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(g.config.Headers.Deadline), 64); err == nil && ms > 0 {
		if d := time.Duration(ms * float64(time.Millisecond)); d < wait || wait <= 0 {
			wait = d
		}
	}
	return x.arrived.Add(wait)
}
