package pagate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"papayahead/pabuffer"
	"papayahead/paconn"
	"papayahead/paheader"
	"papayahead/palane"
	"papayahead/paproof"
	"papayahead/paquarantine"
	"papayahead/paroute"
	"papayahead/pasteer"
)

// exchange is a client request in progress.
type exchange struct {
	id     string
	method string
	uri    string
	host   string
	header http.Header
	route  *paroute.Route
	// workspace is the owner of the request's API key; nil if there is none.
	workspace *paroute.Workspace
	// hasToken says that the request holds a token of the workspace's rate limit.
	hasToken bool
	// limitWait is how long the request waited for the token.
	limitWait time.Duration
	service   string
	object    string
	version   int64
	// size is the body's length, or -1 if unknown. buffered is the part of the body held in memory, unbuffered
	// the rest.
	size       int64
	buffered   []byte
	unbuffered io.Reader
	// sending is the sending of the body by the latest attempt, if it goes on while the response is read.
	sending *bodySending
	// unframed says that its client, of HTTP/1.0, knows no chunks: the end of a response without a length is that of the connection.
	unframed bool
	// unread says that the request is refused without its body being read.
	unread bool
	// cutsBody says that the response closes the client's connection before the body is read to its end.
	cutsBody bool
	// arrived is when the header was read, deadline when the response is due.
	arrived  time.Time
	deadline time.Time
	// tried are the targets that the request was sent to; sends has what is proved of the sends. failedReply is the last reply that
	// reported a failure.
	tried []string
	sends paproof.Sends
	// sheds is how often a target turned it away.
	sheds int
	// unreached are the targets to which no connection could be opened. relays are the entry VMs that were to relay it, and
	// failedRelays those of them that did not respond, or cannot.
	unreached, relays, failedRelays []string
	// avoid are the targets that want no requests from the entry VM that received it, if that is not this one.
	avoid []string
	// direct says that no relay may take it. relayed is the call of the entry VM that received it; nil if that is this one.
	direct      bool
	relayed     *relayCall
	failedReply *reply
	// lastChoice is the last choice of a target, for the log.
	lastChoice pasteer.Choice
	// roomWait is how long the request waited for a free slot, overtaken how many later ones were sent before it meanwhile.
	roomWait  time.Duration
	overtaken int
	// lastFailure is how the last attempt failed, for the log.
	lastFailure paconn.Failure
	// clientCtx is done when the client disconnects.
	clientCtx context.Context
	// fingerprint is the digest of the content once it was computed.
	fingerprint paquarantine.Fingerprint
	// lane tracks the requests ahead on the client's connection; pipelineWait is how long the request, or its
	// response, waited for them.
	lane *palane.Lane
	returning
	// hold is what the bodies of the request and of its responses hold in memory.
	hold pabuffer.Hold
	// heads is what the heads of its responses hold.
	heads        pabuffer.Claim
	pipelineWait time.Duration
}

// inline reports whether the request is small enough to be written before its response is awaited.
func (x *exchange) inline() bool { return x.unbuffered == nil && len(x.buffered) <= maxInlineWrite }

// release returns what the request holds in memory.
func (x *exchange) release() {
	x.hold.Release()
	x.heads.Release()
}

// serveClient handles one client request.
func (g *Gate) serveClient(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := g.newExchange(r)
	defer x.release()
	if x.lane.Refused() {
		w.Header().Set("Connection", "close")
		x.unread = r.ContentLength != 0
		g.refuse(w, x, reasonNoRoom, retryAfterNoRoom)
		return
	}
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
	x.sends.Repeatable = x.route.Idempotent
	if status, reason := g.authenticate(x, s); status != 0 {
		g.refuseAuthentication(w, x, status, reason)
		return
	}
	if status, reason := g.readClientBody(w, x, r, s.table.Config.Limits); status != 0 {
		if x.unread = status == http.StatusServiceUnavailable; !x.unread {
			g.discardBody(w, r)
		}
		g.refuseBody(w, x, status, reason)
		return
	}
	x.deadline = g.deadlineOf(x, r)
	if !g.canFinish(x) {
		g.refuse(w, x, reasonShuttingDown, retryAfterShutdown)
		return
	}
	done, admitted := g.admitQuarantined(w, x)
	if !admitted {
		return
	}
	defer done()
	if !g.admitPipelined(w, x) {
		return
	}
	g.noteReturn(x)
	if retryAfter, ok := g.quotas.admit(x, s); !ok {
		g.refuseLimited(w, x, s, retryAfter)
		return
	}
	g.noteAdmitted(x)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(g.requestsCtx, cancel)()
	x.service = g.pickService(x)
	g.forward(ctx, w, x)
}

// newExchange takes what is needed from the request's header.
func (g *Gate) newExchange(r *http.Request) *exchange {
	x := &exchange{
		id: r.Header.Get(g.config.Headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host,
		unframed: !r.ProtoAtLeast(1, 1),
		header:   paheader.EndToEnd(r.Header), size: r.ContentLength, arrived: g.config.Clock.Now(),
		clientCtx: r.Context(), lane: palane.FromContext(r.Context()), hold: pabuffer.Hold{Budget: &g.memory.budget},
		heads: pabuffer.Claim{Budget: &g.memory.budget},
	}
	x.header.Del(relayHeader)
	if c, err := r.Cookie(g.config.Headers.ObjectCookie); err == nil {
		x.object = c.Value
	}
	return x
}

func requestPath(uri string) string {
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// readBody reads up to maxBuffered bytes of the body. A status other than 0 is the response to a request whose body
// is refused.
func (g *Gate) readBody(x *exchange, r *http.Request, l paroute.Limits) (status int, reason string) {
	x.hold.Priority = x.priority()
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
	buffered, err := g.hold(x, body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, pabuffer.ErrUsedUp):
		x.hold.Release() // The rest of the body is still to be discarded, which takes a while.
		return http.StatusServiceUnavailable, reasonBuffersFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, reasonDeadline
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	case err != nil:
		return http.StatusBadRequest, reasonBadBody
	}
	x.buffered = buffered
	if len(buffered) > maxBuffered {
		x.unbuffered = body
	}
	return 0, ""
}

const (
	// maxDiscardedBody and discardTimeout bound what is read of a refused body.
	maxDiscardedBody = 4 << 20
	discardTimeout   = time.Second
)

// discardBody reads a refused body for a while. Closing a connection with unread bytes resets it, and a client that
// is still writing would lose the response that says why.
func (g *Gate) discardBody(w http.ResponseWriter, r *http.Request) {
	if err := http.NewResponseController(w).SetReadDeadline(g.config.Clock.Now().Add(discardTimeout)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardedBody); err != nil {
		return // The body ended, or the client is too slow; the response is the same.
	}
}

// deadlineOf returns when the response is due: by the route's timeout, or by the client's deadline header if sooner.
func (g *Gate) deadlineOf(x *exchange, r *http.Request) time.Time {
	timeout := x.route.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(g.config.Headers.Deadline), 64); err == nil && ms > 0 {
		x.told = time.Duration(ms * float64(time.Millisecond))
		if x.told < timeout || timeout <= 0 {
			timeout = x.told
		}
	}
	return x.arrived.Add(timeout)
}
