package pastand

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"papayahead/pabundle"
)

// Direction is a way between two zones; "platform" and "callers" are zones here.
type Direction struct{ From, To pabundle.ZoneName }

// LinkUse is what crossed from one region to another.
type LinkUse struct {
	From, To pabundle.RegionName
	Bytes    int64
	// Peak is the most bits a second over any meterWindow.
	Peak pabundle.BitRate
}

// meterWindow is the time over which the peak of a link is taken: long enough to be a rate, short
// enough to show a burst that would fill the buffers of a router.
const meterWindow = 500 * time.Millisecond

// meter counts the bytes of a lane.
type meter struct {
	total, window, peak int64
	began               time.Time
}

// Cut stops all bytes from one zone to another; they wait. The other direction goes on.
func (w *Wire) Cut(d Direction) { w.change(func() { w.cuts[cut(d)] = true }) }

// Heal ends a cut.
func (w *Wire) Heal(d Direction) { w.change(func() { delete(w.cuts, cut(d)) }) }

// HealAll ends all cuts.
func (w *Wire) HealAll() { w.change(func() { clear(w.cuts) }) }

// Host is a machine behind the Wire.
type Host struct {
	Address netip.Addr
	// Down refuses connections to it, as the network does where nobody listens.
	Down bool
}

// SetHost takes a host down or up again.
func (w *Wire) SetHost(h Host) error {
	for _, r := range w.Config.Routes {
		if r.To.Addr() != h.Address {
			continue
		}
		w.mutex.Lock()
		l := w.listeners[r.Listen]
		life := w.life
		if h.Down {
			delete(w.listeners, r.Listen)
		}
		w.mutex.Unlock()
		switch {
		case h.Down && l != nil:
			l.Close()
		case !h.Down && l == nil && life != nil:
			if err := w.open(life, r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *Wire) change(f func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cuts == nil {
		w.cuts = map[cut]bool{}
	}
	f()
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// Silence stops all bytes, for good, on the connections that now stand from one zone to another;
// new ones work. It returns how many there were.
func (w *Wire) Silence(d Direction) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n := 0
	for c := range w.calls {
		if c.from.Zone == d.From && c.to.Zone == d.To {
			c.silenceOnce.Do(func() { close(c.silent) })
			n++
		}
	}
	return n
}

func (w *Wire) count(src, dst Place, n int) {
	if src.Region == dst.Region || src.Region == "" || dst.Region == "" {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.meters == nil {
		w.meters = map[lane]*meter{}
	}
	k := lane{src.Region, dst.Region}
	m := w.meters[k]
	if m == nil {
		m = &meter{}
		w.meters[k] = m
	}
	if now := w.Clock.Now(); now.Sub(m.began) >= meterWindow {
		m.began, m.window = now, 0
	}
	m.total += int64(n)
	m.window += int64(n)
	m.peak = max(m.peak, m.window)
}

// Links returns what crossed each link so far.
func (w *Wire) Links() []LinkUse {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var all []LinkUse
	for k, m := range w.meters {
		rate := float64(m.peak) * 8 / meterWindow.Seconds()
		all = append(all, LinkUse{From: k.from, To: k.to, Bytes: m.total, Peak: pabundle.BitRate(rate)})
	}
	return all
}

func (w *Wire) serveHost(out http.ResponseWriter, r *http.Request) {
	var h Host
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		http.Error(out, "want a Host as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := w.SetHost(h); err != nil {
		http.Error(out, err.Error(), http.StatusInternalServerError)
	}
}

// ServeHTTP is the control of a Wire that runs as a process: POST and DELETE /Cuts and POST
// /Silences take a Direction (DELETE without one heals all), POST /Hosts takes a Host, GET /Links
// returns the use of links.
func (w *Wire) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/Hosts" {
		w.serveHost(out, r)
		return
	}
	var d Direction
	if r.Method != http.MethodGet && r.ContentLength != 0 {
		if err := json.NewDecoder(r.Body).Decode(&d); err != nil {
			http.Error(out, "want a Direction as JSON: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /Cuts":
		w.Cut(d)
	case "DELETE /Cuts":
		if d == (Direction{}) {
			w.HealAll()
			return
		}
		w.Heal(d)
	case "POST /Silences":
		_ = json.NewEncoder(out).Encode(w.Silence(d))
	case "GET /Links":
		_ = json.NewEncoder(out).Encode(w.Links())
	default:
		http.NotFound(out, r)
	}
}
