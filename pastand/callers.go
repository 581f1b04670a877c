package pastand

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
	"papayahead/paevent"
)

// Load is an open-loop stream of requests for one service: each has an intended start, whatever
// became of those before.
type Load struct {
	Service string
	// Rate is in requests a second.
	Rate float64
	// Method is GET if empty; a POST carries a body and an idempotency key and may run at most once.
	Method string `json:",omitempty"`
	// Class is the class of the run time at the target.
	Class string `json:",omitempty"`
	// Size is the answer's size in bytes; Upload is the request's.
	Size   int64
	Upload int64 `json:",omitempty"`
	// Repeat is the share of keyed requests that the caller sends again under the same key, at once
	// and by another entry VM, as an impatient user would.
	Repeat float64 `json:",omitempty"`
	// Deadline is the time from the intended start within which the answer is wanted.
	Deadline pabundle.Duration
}

// The bounds of Callers where its fields are zero.
const (
	// DefaultAttempts bounds the attempts of a caller at one request.
	DefaultAttempts = 4
	// DefaultMaxInFlight bounds the requests in flight; starts beyond it are counted as not offered.
	DefaultMaxInFlight = 4000
	// lateTime is how long after the deadline a caller still listens, to tell late from lost.
	lateTime = 2 * time.Second
	// maxSpread bounds the extra wait of a refused caller, as a share of the time to come back.
	maxSpread = 0.25
)

// Callers stands in for the callers of services.
type Callers struct {
	// Entries are the entry VMs' addresses for callers that a look-up asks first, in order.
	Entries []string
	// Addresses are the callers' own, one for each; a look-up names them. Without any there is one
	// caller, who goes by its connection's address.
	Addresses []netip.Addr
	Loads     []Load
	// Duration is how long requests are started.
	Duration time.Duration
	// Attempts and MaxInFlight are as their defaults say; zero takes the default.
	Attempts, MaxInFlight int
	// Name begins every identity, so that no two runs share one.
	Name      string
	Clock     clockwork.Clock
	Random    *rand.Rand
	Transport http.RoundTripper
	// Recorder, if set, takes the attempts without an answer.
	Recorder *paevent.Recorder

	mutex  sync.Mutex
	people []*caller
	report recorder
}

// Run offers the load and returns the report when the last request has ended; an ended context stops
// new requests.
func (c *Callers) Run(ctx context.Context) Report {
	c.people = nil
	for _, a := range c.Addresses {
		c.people = append(c.people, &caller{address: a})
	}
	if len(c.people) == 0 {
		c.people = []*caller{{}}
	}
	c.report = recorder{begun: c.Clock.Now()}
	var running sync.WaitGroup
	room := make(chan struct{}, orDefault(c.MaxInFlight, DefaultMaxInFlight))
	for i := range c.Loads {
		running.Go(func() { c.offer(ctx, i, room, &running) })
	}
	running.Wait()
	return c.report.report(c.Clock.Now())
}

// offer starts the requests of one load at their intended times.
func (c *Callers) offer(ctx context.Context, load int, room chan struct{}, running *sync.WaitGroup) {
	l := c.Loads[load]
	if l.Rate <= 0 {
		return
	}
	begun := c.Clock.Now()
	var due time.Duration
	for n := 0; ; n++ {
		due += time.Duration(c.exponential() / l.Rate * float64(time.Second))
		if due >= c.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(due - c.Clock.Since(begun)):
		}
		q := c.newRequest(load, n, begun.Add(due))
		select {
		case room <- struct{}{}:
		default:
			c.report.notOffered(l.Service)
			continue
		}
		running.Go(func() {
			defer func() { <-room }()
			// An ended run starts nothing new, but cuts off no request.
			c.report.add(q, c.serve(context.WithoutCancel(ctx), q))
		})
	}
}

// exponential draws the time between two starts, in units of its mean.
func (c *Callers) exponential() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.Random.ExpFloat64()
}

// draw returns a number below 1.
func (c *Callers) draw() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.Random.Float64()
}

// request is one request as a caller means it, over all its attempts.
type request struct {
	load     Load
	identity string
	caller   *caller
	intended time.Time
	repeated bool
}

func (c *Callers) newRequest(load, n int, intended time.Time) request {
	l := c.Loads[load]
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return request{
		load: l, identity: identity(c.Name, load, n), intended: intended,
		caller:   c.people[c.Random.IntN(len(c.people))],
		repeated: l.Method == http.MethodPost && c.Random.Float64() < l.Repeat,
	}
}

func orDefault(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}
