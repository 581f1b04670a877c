package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// settleWork is how long a run takes: the mean of the site file, of which a warm server takes 0.3.
	settleWork       = 180 * time.Millisecond
	pressTime        = 90 * time.Second
	consumersPerGate = 7
	consumerPause    = 50 * time.Millisecond

	// In each episode all servers reject a part of the requests, as srv_grey (shed all) with at most x = 0.55 for 8.5 s in the site
	// file, and seven of twelve send second copies late, as garble (extra late) with at most share = 0.6, x = 0.03 for 5 s.
	episodeGap = 9 * time.Second
	greyTime   = 8500 * time.Millisecond
	greyShare  = 0.2
	garbleTime = 5000 * time.Millisecond
	copyShare  = 0.03
	copyDelay  = 30 * time.Millisecond
)

// playSecondCopy has servers reject a part of the requests although they have free slots, and send a second copy of some of their
// answers late. Consumers send requests that must not run twice.
func playSecondCopy(rec *record, folder string) int {
	config := map[string]any{
		"version": 7,
		"routes": map[string]any{"r-settle": map[string]any{
			"host": "nony93.example", "pathPrefix": "/balo202/", "kind": "non_idempotent", "timeoutMs": 1200, "targetLatencyMs": 500,
			"priority": 0, "service": "settle", "maxAttempts": 2, "cacheAffinity": true, "allowedRegions": []string{},
		}},
		"services": map[string]any{"settle": map[string]any{"healthCheck": "/healthz", "maxConns": 330, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 6.1}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	d, err := launch(rec, folder, plan{
		gates: siteGates, services: []string{"settle"}, serverZones: siteServers, work: settleWork, slots: 3, config: config,
	})
	defer d.stop()
	if err != nil {
		rec.say("cannot run: %v", err)
		return cannotRun
	}
	if d.trouble {
		go d.episodes(pressTime)
	}
	all := d.press(pressTime, consumersPerGate)
	time.Sleep(2 * time.Second)
	twice, refused := d.judge(all)
	counts := map[string]int{}
	for _, o := range all {
		counts[fmt.Sprintf("%d %t", o.status, o.err == nil)]++
	}
	extras := 0
	for _, s := range d.servers {
		extras += s.extras
	}
	rec.say("%d requests, by status and whether the answer was whole: %v; %d second copies", len(all), counts, extras)
	rec.say("TWICE broken %d times, REFUSED broken %d times", twice, refused)
	if twice+refused > 0 {
		return broken
	}
	return held
}

// press sends requests that must not run twice to each gate for a time, from n consumers at each, and returns what they got.
func (d *deployment) press(length time.Duration, n int) (all []outcome) {
	var mutex sync.Mutex
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for k, g := range d.gates {
		c := &client{address: g.front, rec: d.rec}
		for w := range n {
			done.Add(1)
			go func() {
				defer done.Done()
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("%x%02x%06x", k+10, w, i)
					d.rec.line("consumer sends %s to %s", id, g.name)
					o := c.do("PUT", "nony93.example", "/balo202/", id, fmt.Sprint(w), 3*time.Second, "amount of "+id)
					d.rec.line("consumer of %s gets %d %v", id, o.status, o.err)
					mutex.Lock()
					all = append(all, o)
					mutex.Unlock()
					time.Sleep(consumerPause)
				}
			}()
		}
	}
	done.Wait()
	return all
}

// episodes has the servers reject requests and send second copies, again and again.
func (d *deployment) episodes(length time.Duration) {
	set := func(change func(i int, s *server)) {
		for i, s := range d.servers {
			s.mutex.Lock()
			change(i, s)
			s.mutex.Unlock()
		}
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		d.rec.line("disruption: all servers reject a part (srv_grey), seven of twelve send second copies late (garble)")
		set(func(i int, s *server) {
			s.shedShare = greyShare
			if i%5 < 3 {
				s.extraShare, s.extraDelay = copyShare, copyDelay
			}
		})
		time.Sleep(garbleTime)
		d.rec.line("disruption: no more second copies")
		set(func(_ int, s *server) { s.extraShare = 0 })
		time.Sleep(greyTime - garbleTime)
		d.rec.line("disruption: over")
		set(func(_ int, s *server) { s.shedShare = 0 })
		time.Sleep(episodeGap - greyTime)
	}
}
