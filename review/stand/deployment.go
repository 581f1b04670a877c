package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// deployment is a small deployment: the store, gates, and servers.
type deployment struct {
	rec     *record
	store   *store
	gates   []*gate
	servers []*server
	trouble bool
}

// siteGates and siteServers are the zones of the gates, and those of the servers of each service, in the site file that the claims name.
var (
	siteGates   = []string{"trnava-a", "trnava-a", "zvolen-a", "presov-a", "nitra-b", "lucenec-b", "kosice-b"}
	siteServers = []string{
		"trnava-a", "trnava-a", "trnava-a", "zvolen-a", "presov-a", "presov-a",
		"nitra-b", "nitra-b", "nitra-b", "lucenec-b", "kosice-b", "kosice-b",
	}
)

// plan says what to start.
type plan struct {
	// gates are the zones of the gates; servers the number of servers of each service in each zone of serverZones.
	gates       []string
	services    []string
	serverZones []string
	work        time.Duration
	slots       int
	config      map[string]any
	terms       string
}

// launch starts a deployment and returns once all gates are ready and registered, and a while later.
func launch(rec *record, folder string, p plan) (*deployment, error) {
	d := &deployment{rec: rec, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	base := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%64, os.Getpid()/64%250)
	var ips []string
	for i := range p.gates {
		ips = append(ips, fmt.Sprintf("%s%d", base, i+1))
	}
	storeIP, serverIP := base+"200", base+"100"
	free, err := freePorts(5+len(p.services)*len(p.serverZones), append([]string{storeIP, serverIP}, ips...))
	if err != nil {
		return d, err
	}
	storeAddress := fmt.Sprintf("%s:%d", storeIP, free[4])
	if err := d.store.listen(storeAddress); err != nil {
		return d, err
	}
	d.store.put("op/config", p.config)
	next := 5
	for _, service := range p.services {
		for _, zone := range p.serverZones {
			s := &server{
				id: fmt.Sprintf("i-%s-%d", service, next), service: service, zone: zone, address: fmt.Sprintf("%s:%d", serverIP, free[next]),
				slots: p.slots, work: p.work, rec: rec, store: d.store,
			}
			next++
			if err := s.start(); err != nil {
				return d, err
			}
			d.servers = append(d.servers, s)
		}
	}
	at := ports{free[0], free[1], free[2], free[3]}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, at.control))
	}
	for i, zone := range p.gates {
		g := &gate{
			name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ips[i], folder: folder, command: []string{"target/papayahead", "gate"},
			front: fmt.Sprintf("%s:%d", ips[i], at.front), ready: fmt.Sprintf("%s:%d", ips[i], at.ready),
		}
		if err := os.WriteFile(filepath.Join(folder, g.name+".conf"), []byte(g.settings(at, seeds, storeAddress, p.terms)), 0o644); err != nil {
			return d, err
		}
		if err := g.start(); err != nil {
			return d, err
		}
		d.gates = append(d.gates, g)
	}
	return d, d.awaitReady()
}

// leadTime is how long after the start of the machines traffic starts (SYSTEM.md).
const leadTime = 8 * time.Second

func (d *deployment) awaitReady() error {
	start := time.Now()
	for time.Since(start) < 20*time.Second {
		ready := 0
		for _, g := range d.gates {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(d.gates) && d.store.count("papayahead/entries/") == ready {
			time.Sleep(leadTime - time.Since(start))
			d.rec.say("%d gates are ready", ready)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the gates are not ready; see their logs")
}

func (d *deployment) stop() {
	for _, g := range d.gates {
		g.kill()
	}
}

// runsOf returns the runs of a request at all servers.
func (d *deployment) runsOf(id string) (all []run) {
	for _, s := range d.servers {
		s.mutex.Lock()
		all = append(all, s.runs[id]...)
		s.mutex.Unlock()
	}
	return all
}

// judge checks TWICE and REFUSED for requests that must not be repeated, and returns how often each rule was broken.
func (d *deployment) judge(all []outcome) (twice, refused int) {
	for _, o := range all {
		runs := d.runsOf(o.id)
		if len(runs) > 1 {
			twice++
			var where []string
			for _, r := range runs {
				where = append(where, r.server)
			}
			d.rec.line("BROKEN TWICE: %s ran %d times, at %s; its consumer got %d %v", o.id, len(runs), strings.Join(where, ", "), o.status, o.err)
		}
		if len(runs) > 0 && o.promisesNotRun() {
			refused++
			d.rec.line("BROKEN REFUSED: the consumer of %s got %d, and it ran at %s", o.id, o.status, runs[0].server)
		}
	}
	return twice, refused
}
