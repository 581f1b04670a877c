package paplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// listTimeout limits a request for the VM list. The caller polls the list and so retries by itself.
const listTimeout = 3 * time.Second

// maxListBytes limits the size of the VM list, which has a few thousand VMs of a few hundred bytes each.
const maxListBytes = 64 << 20

// VMListClient is the HTTP client of a VMList.
type VMListClient struct {
	// Base is the base URL of the VM list service, such as http://127.0.0.1:7000.
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
		return nil, errorf(Invalid, "Machines", "%v", err)
	}
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	w, err := transport.RoundTrip(r)
	if err != nil {
		return nil, errorf(Unavailable, "Machines", "%v", err)
	}
	defer w.Body.Close()
	body, err := readAll(w.Body, maxListBytes)
	if err != nil {
		return nil, errorf(Unavailable, "Machines", "reading the reply: %v", err)
	}
	if w.StatusCode != http.StatusOK {
		return nil, errorf(Unavailable, "Machines", "HTTP status %d", w.StatusCode)
	}
	var all []VM
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, errorf(Unavailable, "Machines", "decoding the reply: %v", err)
	}
	return all, nil
}
