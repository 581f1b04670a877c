package paentry

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"papayahead/pabundle"
	"papayahead/pacontrol"
	"papayahead/palookup"
	"papayahead/paproxy"
)

// LookUpPath is where callers look up which entry VMs to use: GET /LookUp/SERVICE. The query parameter
// Caller=IP looks up for another address than the sender's.
const LookUpPath = "/LookUp/"

// regionOf returns the region whose address blocks contain the caller, or this entry VM's own if none does.
func (d *Daemon) regionOf(s *pacontrol.Snapshot, caller netip.Addr) pabundle.RegionName {
	if s.Blocks != nil {
		if r, ok := s.Blocks.Region(caller.Unmap()); ok {
			return r
		}
	}
	return d.config.Settings.Region
}

// callersHandler serves look-ups and requests. It does not use http.ServeMux, which redirects paths that
// contain "//" or ".."; a client that follows the redirect may turn its POST into a GET.
func (d *Daemon) callersHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if service, ok := strings.CutPrefix(r.URL.Path, LookUpPath); ok {
			d.answerLookUp(w, r, pabundle.ServiceName(service))
			return
		}
		d.front.ServeHTTP(w, r)
	})
}

func (d *Daemon) answerLookUp(w http.ResponseWriter, r *http.Request, name pabundle.ServiceName) {
	d.metrics.lookUps.Inc()
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		refuseLookUp(w, http.StatusMethodNotAllowed, string(paproxy.ReasonMethod))
		return
	}
	s := d.snapshot.Load()
	if s.Bundle == nil || s.Plan == nil {
		refuseLookUp(w, http.StatusServiceUnavailable, "NoBundle")
		return
	}
	if _, ok := s.Services[name]; !ok {
		refuseLookUp(w, http.StatusNotFound, string(paproxy.ReasonNoService))
		return
	}
	caller, ok := callerOf(r)
	if !ok {
		refuseLookUp(w, http.StatusBadRequest, "Caller: want an IP address")
		return
	}
	// Look-ups send callers to their own region only. Traffic moves between regions by forwarding alone,
	// so that one budget counts all of it and cached answers can't exceed the limit on shifted traffic.
	region := d.regionOf(s, caller)
	a := s.Plan.Answer(palookup.Query{
		Service: name, Caller: caller, Region: region, Sequence: s.Head.Sequence,
		Shares: []pabundle.Share{{From: region, To: region, Share: 1}},
	})
	a.TimeToLive.Duration = d.config.Settings.TimeToLive
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(a)
}

// callerOf returns the address to look up for: the parameter Caller, or else the sender's.
func callerOf(r *http.Request) (netip.Addr, bool) {
	if a := r.URL.Query().Get("Caller"); a != "" {
		c, err := netip.ParseAddr(a)
		return c, err == nil
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, false
	}
	c, err := netip.ParseAddr(host)
	return c, err == nil
}

// lookUpRefusal is the JSON body of a refused look-up.
type lookUpRefusal struct{ Reason string }

func refuseLookUp(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(lookUpRefusal{Reason: reason})
}
