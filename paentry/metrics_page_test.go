package paentry_test

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"papayahead/paentry"
	"papayahead/panetwork"
	"papayahead/paproxy"
)

var (
	sampleName  = regexp.MustCompile(`(?m)^(papayahead_[a-z_]+)[{ ]`)
	documented  = regexp.MustCompile("(?m)^\\| `(papayahead_[a-z_]+)`")
	histogramOf = regexp.MustCompile(`_(bucket|sum|count)$`)
)

// Guards against a metric that docs/METRICS.md lists and the daemon does not write, or the reverse: an alert
// on it never fires.
func TestMetricsPageAgreesWithTheDaemon(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.rollOut(g)
	g.Eventually(func() string { return f.request(0, http.MethodGet, "") }).WithTimeout(10 * time.Second).Should(Equal("Answered"))
	f.get(g, f.entries[0].Callers, "/Services/deposits/", "1")
	page, err := os.ReadFile("../docs/METRICS.md")
	g.Expect(err).NotTo(HaveOccurred())
	listed := map[string]bool{}
	for _, m := range documented.FindAllStringSubmatch(string(page), -1) {
		listed[m[1]] = true
	}
	// Credits are held only while a share of the requests goes to another region, which this fleet never needs.
	written := map[string]bool{"papayahead_credits_held": true}
	g.Eventually(func() map[string]bool {
		for _, m := range sampleName.FindAllStringSubmatch(f.get(g, f.entries[0].Operators, paentry.MetricsPath, ""), -1) {
			written[histogramOf.ReplaceAllString(m[1], "")] = true
		}
		return written
	}).WithTimeout(10 * time.Second).Should(Equal(listed))
}

// get sends a GET request with the deadline, in milliseconds, in a header, and returns the body.
func (f *fleet) get(g *WithT, a netip.AddrPort, path, deadline string) string {
	h := &panetwork.Host{Network: f.network, Address: netip.MustParseAddr("10.1.0.9")}
	c := &http.Client{Transport: &http.Transport{DialContext: h.Dial, DisableKeepAlives: true}}
	q, err := http.NewRequest(http.MethodGet, "http://"+a.String()+path, http.NoBody)
	g.Expect(err).NotTo(HaveOccurred())
	q.Header.Set(paproxy.DeadlineHeader, deadline)
	r, err := c.Do(q)
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return string(body)
}
