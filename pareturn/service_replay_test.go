package pareturn

import (
	"math/rand/v2"
	"testing"
	"time"
)

// serviceReplay has an entry VM and a service that answers replayRoom requests a second and lets maxQueue wait. Callers of two
// priorities come at twice that for ten seconds; one that is refused returns once.
type serviceReplay struct {
	random   *rand.Rand
	booking  bool
	schedule Schedule
	seen     Deadlines
	queue    int
	coming   map[time.Duration][]serviceCaller
	// returned and found are callers that return as they were told, by class.
	returned, found [Classes]int
	served          int
}

type serviceCaller struct {
	replayCaller
	class int
}

const (
	replayRoom = 200
	maxQueue   = 60
)

var serviceKey = Key{Service: true, Name: "s"}

func (m *serviceReplay) run() {
	const from, until = 5 * time.Second, 15 * time.Second
	arrivals, room := 0.0, 0.0
	for now := time.Duration(0); now < until+5*time.Second; now += time.Millisecond {
		if room += replayRoom / 1000.0; m.queue == 0 {
			room = min(room, 1)
		}
		for ; room >= 1 && m.queue > 0; room-- {
			m.queue--
			m.served++
			m.schedule.CountFree(serviceKey, now)
		}
		rate := 0.5
		if now >= from && now < until {
			rate = 2
		}
		for arrivals += rate * replayRoom / 1000; arrivals >= 1; arrivals-- {
			m.arrive(serviceCaller{replayCaller{sent: now, whole: testLeft - time.Duration(m.random.IntN(500))*time.Millisecond}, 2 * m.random.IntN(2)}, now)
		}
		for _, c := range m.coming[now] {
			m.arrive(c, now)
		}
		delete(m.coming, now)
	}
}

func (m *serviceReplay) arrive(c serviceCaller, now time.Duration) {
	left := c.sent + c.whole - now
	m.seen.Note("r", left, now)
	behind := time.Duration(0)
	switch {
	case !m.booking:
	case m.seen.HadPlace("r", left):
		m.schedule.Claim(serviceKey, c.class, ms(100), now)
	case m.queue > 0:
		behind = m.schedule.Behind(serviceKey, c.class, ms(100), now)
	}
	room := float64(m.queue)+behind.Seconds()*replayRoom < maxQueue
	if c.promised {
		m.returned[c.class]++
		if room {
			m.found[c.class]++
		}
	}
	if room {
		m.queue++
		return
	}
	if c.again {
		return
	}
	told := Return{After: ms(300) + time.Duration(m.queue)*time.Second/replayRoom/2}
	if m.booking {
		from, to := m.seen.Window("r", left)
		m.seen.NoteRefused("r", now)
		told = m.schedule.Book(Refused{
			Key: serviceKey, Priority: c.class, Rate: m.schedule.Rate(serviceKey, now), Earliest: told.After, Left: left, From: from, To: to,
		}, now)
	} else {
		told.After += time.Duration(m.random.Float64() / 2 * float64(told.After))
		told.Booked = told.After <= left/honouredDivisor
	}
	at := now + min(told.After, left/honouredDivisor) + time.Duration(1+m.random.IntN(30))*time.Millisecond
	at = at.Round(time.Millisecond)
	m.coming[at] = append(m.coming[at], serviceCaller{replayCaller{sent: c.sent, whole: c.whole, again: true, promised: told.Booked}, c.class})
}

// Guards against callers of a full service that return as they were told and are refused again, and against urgent ones that return
// behind others or others that never do.
func TestCallersThatReturnAsToldFindRoom(t *testing.T) {
	var all [2]*serviceReplay
	for i := range all {
		all[i] = &serviceReplay{random: rand.New(rand.NewPCG(3, 4)), booking: i == 1, coming: map[time.Duration][]serviceCaller{}}
		all[i].run()
		t.Logf("booking %v: returned %v, found room %v, served %d", i == 1, all[i].returned, all[i].found, all[i].served)
	}
	got := all[1]
	if found := float64(got.found[0]+got.found[2]) / float64(got.returned[0]+got.returned[2]); found < 0.8 {
		t.Errorf("%.2f of the callers that had a place found room", found)
	}
	if got.returned[0] < 3*got.returned[2] || got.found[2] == 0 {
		t.Errorf("places of the most urgent: %d, of the least: %d", got.returned[0], got.returned[2])
	}
	if got.served < all[0].served*97/100 {
		t.Errorf("%d requests served, %d before", got.served, all[0].served)
	}
}
