package pasetting

import (
	"testing"

	. "github.com/onsi/gomega"
)

func validValues() map[string]string {
	return map[string]string{
		"name": "entry-1", "zone": "centro-a", "region": "centro", "deployment": "instituto",
		"callers": "127.0.0.1:8001", "peers": "127.0.0.1:8002", "operators": "127.0.0.1:8003",
		"store": "http://127.0.0.1:7000",
	}
}

func TestParseEntryDerivesDefaults(t *testing.T) {
	g := NewWithT(t)
	e, err := ParseEntry(validValues())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.PeersAddress).To(Equal(e.Peers))
	g.Expect(e.Machines).To(Equal(e.Store))
	g.Expect(e.MaxRequests).To(Equal(2048))
}

// Guards against an error that reports only the first invalid setting: fixing three would take four starts.
func TestParseEntryReportsAllErrors(t *testing.T) {
	g := NewWithT(t)
	given := validValues()
	given["zone"] = ""
	given["callers"] = "localhost:8001"
	given["time-to-live"] = "2h"
	_, err := ParseEntry(given)
	g.Expect(err).To(MatchError(And(
		ContainSubstring("3 settings"),
		ContainSubstring("--zone (PAPAYAHEAD_ZONE): given not set"),
		ContainSubstring(`--callers (PAPAYAHEAD_CALLERS): given "localhost:8001", allowed: IP:PORT`),
		ContainSubstring(`given "2h", allowed: 1s to 60s`),
	)))
}

func TestParseEntryRejectsUnreachableAddress(t *testing.T) {
	g := NewWithT(t)
	given := validValues()
	given["peers"] = "0.0.0.0:8002"
	_, err := ParseEntry(given)
	g.Expect(err).To(MatchError(ContainSubstring("--peers-address")))
}

func FuzzParseEntry(f *testing.F) {
	f.Add("entry-1", "127.0.0.1:1", "http://127.0.0.1:7000", "3s", "4096")
	f.Add("-", "[::1]:0", "http://a", "1e9s", "-1")
	f.Fuzz(func(t *testing.T, name, address, store, ttl, n string) {
		given := validValues()
		given["name"], given["callers"], given["store"], given["time-to-live"], given["max-connections"] = name, address, store, ttl, n
		e, err := ParseEntry(given)
		if err != nil {
			return
		}
		if !e.CallersAddress.IsValid() || e.Store == nil || e.Name == "" {
			t.Fatalf("accepted an incomplete entry: %+v", e)
		}
	})
}
