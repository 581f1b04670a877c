package paentry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"papayahead/pabundle"
	"papayahead/paclock"
	"papayahead/pacontrol"
	"papayahead/paevent"
	"papayahead/paroll"
)

const (
	// listInterval is the time between reads of the VM list, which changes with 12 failures and 360
	// replacements a day. With a longer one, a leaving target is noticed late; a shorter one costs more
	// reads, each of which the platform counts.
	listInterval = 2 * time.Second
	// maxFullRateReaders is the largest fleet in which each daemon reads the list every listInterval. In a
	// larger one each reads less often, so that the platform gets at most 50 reads a second. Leaving
	// targets are still noticed in time: they report it themselves, on responses and probes.
	maxFullRateReaders = 100
)

// pollVMList reads the platform's VM list periodically. It records the first of consecutive failures.
func (d *Daemon) pollVMList(ctx context.Context) {
	failed := false
	for {
		all, err := d.config.VMList.List(ctx)
		switch {
		case err == nil:
			d.post(pacontrol.VMsListed{VMs: all})
			failed = false
		case !failed && ctx.Err() == nil:
			failed = true
			d.record(paevent.ListUnreachable{Fault: err.Error()})
		}
		if !sleep(ctx, d.config.Clock, d.listPollInterval()) {
			return
		}
	}
}

// listPollInterval returns the time between two reads of the VM list.
func (d *Daemon) listPollInterval() time.Duration {
	v := d.snapshot.Load().View
	if v == nil || len(v.Members) <= maxFullRateReaders {
		return listInterval
	}
	return listInterval * time.Duration(len(v.Members)) / maxFullRateReaders
}

// storedPiece reads a bundle piece from the store, nil if it is missing or the read failed.
func (d *Daemon) storedPiece(ctx context.Context, g pabundle.Digest) []byte {
	v, found, err := d.config.Store.Get(ctx, paroll.PieceKey(d.config.Settings.Deployment, g))
	if err != nil || !found {
		return nil
	}
	return v.Data
}

// probe checks a target's health over a new connection and posts the result. It does not ask for the
// target's load: only this entry VM sends to the target, so its own count is exact and up to date.
func (d *Daemon) probe(ctx context.Context, p pacontrol.Probe) {
	d.spawn(func() {
		ctx, cancel := paclock.WithTimeout(ctx, d.config.Clock, probeTimeout)
		defer cancel()
		state, ok := d.readHealth(ctx, p)
		if state == drainingState {
			d.post(pacontrol.Draining{Target: p.Target})
		}
		d.post(pacontrol.Probed{Target: p.Target, OK: ok})
	})
}

const (
	// TargetHealthPath is where targets report their health, as JSON with the field State.
	TargetHealthPath = "/Health"
	// drainingState is the State of a target that is about to stop, failingState that of a broken one.
	drainingState = "Draining"
	failingState  = "Failing"
	// maxHealthReport bounds the bytes that are read of a health report, and of its head.
	maxHealthReport = 64 << 10
)

// targetHealth is the JSON answer of a target's health endpoint.
type targetHealth struct{ State string }

// readHealth returns the State that a target reports, and whether it answered 200 and is not failing.
func (d *Daemon) readHealth(ctx context.Context, p pacontrol.Probe) (state string, ok bool) {
	t := &http.Transport{DialContext: d.config.Network.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHealthReport}
	defer t.CloseIdleConnections()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+TargetHealthPath, nil)
	if err != nil {
		return "", false
	}
	r, err := t.RoundTrip(q)
	if err != nil {
		return "", false
	}
	defer r.Body.Close()
	var h targetHealth
	err = json.NewDecoder(io.LimitReader(r.Body, maxHealthReport)).Decode(&h)
	return h.State, err == nil && r.StatusCode == http.StatusOK && h.State != failingState
}
