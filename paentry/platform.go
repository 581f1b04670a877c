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
	// listInterval is how often the VM list is read. Load: 12 failures and 360 replacements a day.
	// Harm of more: a leaving target shows late; of less: the platform counts each read.
	listInterval = 2 * time.Second
	// listReaders is how many daemons read the list that often; a larger fleet reads it less often each,
	// so that the platform sees 50 reads a second at most. A leaving target's own word comes sooner.
	listReaders = 100
)

// listMachines reads the platform's VM list again and again.
func (d *Daemon) listMachines(ctx context.Context) {
	failed := false
	for {
		all, err := d.config.Machines.List(ctx)
		switch {
		case err == nil:
			d.post(pacontrol.VMsListed{VMs: all})
			failed = false
		case !failed && ctx.Err() == nil:
			failed = true
			d.record(paevent.ListUnreachable{Fault: err.Error()})
		}
		if !sleep(ctx, d.config.Clock, d.listPause()) {
			return
		}
	}
}

// listPause is the time between two reads of the VM list.
func (d *Daemon) listPause() time.Duration {
	v := d.snapshot.Load().View
	if v == nil || len(v.Members) <= listReaders {
		return listInterval
	}
	return listInterval * time.Duration(len(v.Members)) / listReaders
}

func (d *Daemon) storedPiece(ctx context.Context, g pabundle.Digest) []byte {
	v, found, err := d.config.Store.Get(ctx, paroll.PieceKey(d.config.Settings.Deployment, g))
	if err != nil || !found {
		return nil
	}
	return v.Data
}

// probe asks a target for a sign of life, over a new connection. Its load is not asked for: only
// this entry VM sends to the target, so its own count is exact and does not lag.
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
	// HealthPathOfTargets is where targets tell their health, as JSON with a State.
	HealthPathOfTargets = "/Health"
	// drainingState is the State of a target that is about to stop, failingState of one that is broken.
	drainingState = "Draining"
	failingState  = "Failing"
	// maxHealthReport bounds what is read of a health report, in bytes.
	maxHealthReport = 64 << 10
)

// targetHealth is what a target's health endpoint answers.
type targetHealth struct{ State string }

func (d *Daemon) readHealth(ctx context.Context, p pacontrol.Probe) (state string, ok bool) {
	t := &http.Transport{DialContext: d.config.Network.Dial, DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+HealthPathOfTargets, nil)
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
