package paentry

import (
	"encoding/json"
	"net/http"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/pamember"
)

// The paths of the operators' port, in addition to paevent.TimelinePath.
const (
	// MetricsPath serves the metrics in the Prometheus text format.
	MetricsPath = "/Metrics"
	// HealthPath answers 200 while the daemon accepts requests, and 503 before it has a bundle or while it stops.
	HealthPath = "/Health"
	// StatusPath serves Status.
	StatusPath = "/Status"
)

// Status is the JSON answer on StatusPath.
type Status struct {
	Entry       pabundle.EntryName
	Zone        pabundle.ZoneName
	Region      pabundle.RegionName
	Incarnation pamember.Incarnation
	Head        pabundle.Head
	Stopping    bool
	InFlight    int64
	// Owned is the number of targets that this entry VM owns.
	Owned int
	// Agreed is the number of members that the region's entry VMs agree on; 0 means no agreement.
	Agreed  int
	Members []MemberStatus
}

// MemberStatus is the membership state of an entry VM as the answering one sees it.
type MemberStatus struct {
	Name  pabundle.EntryName
	Zone  pabundle.ZoneName
	State string
}

func (d *Daemon) operatorsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET "+paevent.TimelinePath, d.config.Recorder)
	m.HandleFunc("GET "+MetricsPath, d.answerMetrics)
	m.HandleFunc("GET "+HealthPath, d.answerHealth)
	m.HandleFunc("GET "+StatusPath, d.answerStatus)
	return m
}

func (d *Daemon) answerHealth(w http.ResponseWriter, _ *http.Request) {
	s := d.snapshot.Load()
	switch {
	case s.Stopping:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case s.Bundle == nil:
		http.Error(w, "no bundle yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (d *Daemon) answerStatus(w http.ResponseWriter, _ *http.Request) {
	s := d.snapshot.Load()
	set := d.config.Settings
	a := Status{
		Entry: set.Name, Zone: set.Zone, Region: set.Region, Incarnation: d.config.Incarnation,
		Head: s.Head, Stopping: s.Stopping, InFlight: d.inFlight.Load(), Owned: s.Owned, Agreed: s.Members,
	}
	if s.View != nil {
		for _, m := range s.View.Members {
			a.Members = append(a.Members, MemberStatus{Name: m.Name, Zone: m.Zone, State: m.State.String()})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}
