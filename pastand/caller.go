package pastand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
)

// LookUpAnswer is what a caller uses of the answer to a look-up.
type LookUpAnswer struct {
	Sequence   pabundle.Sequence
	TimeToLive pabundle.Duration
	Entries    []struct {
		Name    pabundle.EntryName
		Address netip.AddrPort
	}
}

// maxLookUp bounds a look-up's answer in bytes, and lookUpTime its time.
const (
	maxLookUp  = 1 << 20
	lookUpTime = time.Second
)

// caller is one caller with the look-up answers that it caches.
type caller struct {
	address netip.Addr
	mutex   sync.Mutex
	cached  map[string]cachedAnswer
}

// cachedAnswer is a list of entry VMs' addresses and when it is to be asked for anew.
type cachedAnswer struct {
	entries []string
	expires time.Time
}

func identity(name string, load, n int) string { return fmt.Sprintf("%s-%d-%d", name, load, n) }

// entries returns the entry VMs to use for the service: cached, asked for, or if nobody answers the
// last ones known. Requests that find the cache expired wait for one look-up.
func (c *Callers) entries(ctx context.Context, p *caller, service string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.cached[service]
	if c.Clock.Now().Before(known.expires) {
		return known.entries
	}
	for _, from := range append(append([]string(nil), known.entries...), c.Entries...) {
		a, err := c.lookUp(ctx, p, from, service)
		if err != nil || len(a.Entries) == 0 {
			c.report.lookUp(service, true)
			continue
		}
		c.report.lookUp(service, false)
		known = cachedAnswer{expires: c.Clock.Now().Add(a.TimeToLive.Duration)}
		for _, e := range a.Entries {
			known.entries = append(known.entries, e.Address.String())
		}
		if p.cached == nil {
			p.cached = map[string]cachedAnswer{}
		}
		p.cached[service] = known
		return known.entries
	}
	return known.entries
}

// lookUp asks one entry VM.
func (c *Callers) lookUp(ctx context.Context, p *caller, from, service string) (LookUpAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTime)
	defer cancel()
	u := url.URL{Scheme: "http", Host: from, Path: "/LookUp/" + service}
	if p.address.IsValid() {
		u.RawQuery = url.Values{"Caller": {p.address.String()}}.Encode()
	}
	var a LookUpAnswer
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return a, trace.Wrap(err)
	}
	r, err := c.Transport.RoundTrip(q)
	if err != nil {
		return a, trace.Wrap(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return a, trace.ConnectionProblem(nil, "look-up at %s: %s", from, r.Status)
	}
	return a, trace.Wrap(json.NewDecoder(io.LimitReader(r.Body, maxLookUp)).Decode(&a))
}
