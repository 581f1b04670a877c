package paplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// listTimeout bounds a call for the VM list; whoever asks comes back by itself.
const listTimeout = 3 * time.Second

// maxList bounds the VM list, in bytes: a few thousand VMs of a few hundred bytes.
const maxList = 64 << 20

// VMListClient is a VMList over HTTP.
type VMListClient struct {
	// Base is the list's address, such as http://127.0.0.1:7000.
	Base string
	// Transport carries the requests; nil is http.DefaultTransport.
	Transport http.RoundTripper
}

var _ VMList = (*VMListClient)(nil)

// List implements VMList.
func (c *VMListClient) List(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+"/Machines", http.NoBody)
	if err != nil {
		return nil, fail(Invalid, "Machines", "%v", err)
	}
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	w, err := transport.RoundTrip(r)
	if err != nil {
		return nil, fail(Unavailable, "Machines", "%v", err)
	}
	defer w.Body.Close()
	body, err := readAll(w.Body, maxList)
	if err != nil {
		return nil, fail(Unavailable, "Machines", "reply: %v", err)
	}
	if w.StatusCode != http.StatusOK {
		return nil, fail(Unavailable, "Machines", "status %d", w.StatusCode)
	}
	var all []VM
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, fail(Unavailable, "Machines", "reply: %v", err)
	}
	return all, nil
}
