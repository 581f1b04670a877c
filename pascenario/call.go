package pascenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/paentry"
)

// pollPause is the time between two looks at a condition.
const pollPause = 50 * time.Millisecond

// await waits until a condition holds.
func (w *World) await(ctx context.Context, limit time.Duration, what string, holds func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := holds(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollPause):
		case <-ctx.Done():
			return trace.LimitExceeded("waited %s for %s: %v", limit, what, err)
		}
	}
}

func (w *World) platformUp(ctx context.Context) error {
	return w.call(ctx, http.MethodGet, "http://"+w.deployment.Platform()+"/Counts", nil, nil)
}

// allReady says whether every entry VM that runs takes requests.
func (w *World) allReady(ctx context.Context) error {
	for _, e := range w.deployment.Entries {
		s, err := w.Status(ctx, e)
		switch {
		case err != nil:
			return err
		case s.Head.Sequence == 0:
			return trace.NotFound("%s has no bundle", e.Name)
		case s.Agreed == 0:
			return trace.NotFound("%s has no agreement", e.Name)
		}
	}
	return nil
}

// Status asks an entry VM how it is.
func (w *World) Status(ctx context.Context, e EntryVM) (paentry.Status, error) {
	var s paentry.Status
	err := w.call(ctx, http.MethodGet, "http://"+w.deployment.Operators(e).String()+paentry.StatusPath, nil, &s)
	return s, err
}

// callTime bounds one call to a control port.
const callTime = 2 * time.Second

// call sends JSON and reads JSON.
func (w *World) call(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return trace.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return trace.Wrap(err)
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.StatusCode >= http.StatusMultipleChoices {
		return trace.BadParameter("%s %s: %s: %s", method, url, r.Status, data)
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, out))
}

// TargetFault changes a target's faults, past the Wire.
func (w *World) TargetFault(ctx context.Context, t pabundle.Target, faults any) error {
	url := "http://" + w.deployment.behind(t.Address).String() + "/Faults"
	return w.call(ctx, http.MethodPost, url, faults, nil)
}

// LookUp asks an entry VM on behalf of a caller and returns the names of the answer, in order.
func (w *World) LookUp(ctx context.Context, e EntryVM, service string, caller netip.Addr) ([]string, error) {
	var a struct{ Entries []struct{ Name string } }
	url := fmt.Sprintf("http://%s%s%s?Caller=%s", w.deployment.Callers(e), paentry.LookUpPath, service, caller)
	if err := w.call(ctx, http.MethodGet, url, nil, &a); err != nil {
		return nil, err
	}
	var names []string
	for _, x := range a.Entries {
		names = append(names, x.Name)
	}
	return names, nil
}
