package pamix

import "time"

// Window is the time over which the regions of the requests that run are compared with those of the time before.
const Window = 2 * time.Second

const (
	// windows is how many windows are remembered: the current one is whole when the oldest was before the crowd.
	windows        = 4
	slotsPerWindow = 20
	slotLength     = Window / slotsPerWindow
	// minRequests is the least number of requests in a window whose regions are compared.
	minRequests = 8
	// minGrowth is the growth of the arrivals, and minRefused the fraction of what is added that is refused for want of room, from which
	// on callers crowd in. Below these, what changes the regions is not the refusals.
	minGrowth  = 1.5
	minRefused = 0.1
	// maxLost is the largest fraction of a region's targets that may be lost while requests are bounded: a crowd makes single ones
	// unresponsive. If more are lost, their requests have to move at once.
	maxLost = 0.25
	// usedShare is the fraction of the allowed change that is used. The rest is for what other entry VMs of the region do meanwhile.
	usedShare = 0.7
)

// Mix counts the requests of one entry VM by the region in which they run. The zero value is ready for use.
type Mix struct {
	slots [windows * slotsPerWindow]counts
	// sums are the counts of each window, the current one first.
	sums [windows]counts
	// newest is the tick of the current slot.
	newest int64
	// first is the tick of the first slot, after a step of the clock too.
	first int64
	// boundUntil is a window after the last request that was not allowed.
	boundUntil time.Time
}

// counts are those of a slot or a window.
type counts struct {
	// tick is the number of the slot since 1970; a window has none.
	tick int64
	// arrived, refused and sent are requests.
	arrived, refused, sent int
	// regions are the requests sent, and targets the most targets known, by region.
	regions, targets map[string]int
}

func newCounts(tick int64) counts {
	return counts{tick: tick, regions: map[string]int{}, targets: map[string]int{}}
}

// add adds other counts; of the targets it keeps the larger number.
func (c *counts) add(o *counts) {
	c.arrived += o.arrived
	c.refused += o.refused
	c.sent += o.sent
	for r, n := range o.regions {
		c.regions[r] += n
	}
	for r, n := range o.targets {
		c.targets[r] = max(c.targets[r], n)
	}
}

// Advance moves the windows to the present, also to an earlier one after a step of the clock. It reports whether a slot began, for
// which SetTargets is to be called.
func (m *Mix) Advance(now time.Time) (began bool) {
	tick := now.UnixNano() / int64(slotLength)
	if tick == m.newest || tick < m.newest && m.newest-tick < slotsPerWindow {
		return false
	}
	known := m.newestSlot().targets
	if m.newest == 0 || tick < m.newest {
		m.first = tick
	}
	m.newest = tick
	*m.newestSlot() = newCounts(tick)
	m.newestSlot().targets = known
	for i := range m.sums {
		m.sums[i] = newCounts(0)
	}
	for i := range m.slots {
		if age := tick - m.slots[i].tick; age >= 0 && age < int64(len(m.slots)) {
			m.sums[age/slotsPerWindow].add(&m.slots[i])
		}
	}
	return true
}

func (m *Mix) newestSlot() *counts { return &m.slots[m.newest%int64(len(m.slots))] }

// SetTargets tells how many targets can be used, by region.
func (m *Mix) SetTargets(targets map[string]int, now time.Time) {
	m.Advance(now)
	m.newestSlot().targets = targets
}

// Arrive counts a request that is to be sent or refused.
func (m *Mix) Arrive(now time.Time) { m.count(now, &counts{arrived: 1}) }

// Refuse counts a request that was refused because no target had room for it.
func (m *Mix) Refuse(now time.Time) { m.count(now, &counts{refused: 1}) }

// Send counts a request that is sent to a target of a region.
func (m *Mix) Send(region string, now time.Time) {
	m.count(now, &counts{sent: 1, regions: map[string]int{region: 1}})
}

// count adds to the current slot and window.
func (m *Mix) count(now time.Time, c *counts) {
	m.Advance(now)
	m.newestSlot().add(c)
	m.sums[0].add(c)
}

// Allows reports whether one more request may run in a region, if maxShift is the largest fraction of the requests that may change
// their region from one window to the next. Only while callers crowd in and no targets were lost is it ever false.
func (m *Mix) Allows(region string, maxShift float64, now time.Time) bool {
	m.Advance(now)
	current, before := &m.sums[0], &m.sums[1]
	if current.sent < minRequests || before.sent < minRequests || !m.crowded(now) || m.lostTargets() {
		return true
	}
	// excess is by how much the region's fraction of the requests has grown, with this one.
	excess := func(r string, more int) float64 {
		return float64(current.regions[r]+more)/float64(current.sent+1) - float64(before.regions[r])/float64(before.sent)
	}
	own := excess(region, 1)
	if own <= 0 {
		return true
	}
	change := own
	for r := range current.regions {
		if r != region {
			change += max(0, excess(r, 0))
		}
	}
	if change <= usedShare*maxShift {
		return true
	}
	// Counted as part of the crowd until it is over, as the windows before soon have it too.
	m.boundUntil = now.Add(Window)
	return false
}

// crowded reports whether targets have no room for many requests, and far more arrive than some windows ago, or the change that such a
// crowd brought is still being bounded.
func (m *Mix) crowded(now time.Time) bool {
	arrived, refused := float64(m.sums[0].arrived), float64(m.sums[0].refused)
	if left := m.boundUntil.Sub(now); left > 0 && left <= Window && refused >= minRefused*arrived {
		return true
	}
	least, known := m.sums[1].arrived, false
	for i, w := range m.sums[1:] {
		// A window that began before the first request shows no growth.
		if m.newest-m.first >= int64(i+2)*slotsPerWindow {
			least, known = min(least, w.arrived), true
		}
	}
	return known && arrived >= minGrowth*float64(least) && refused >= minRefused*(arrived-float64(least))
}

// lostTargets reports whether a region has lost targets in the remembered time.
func (m *Mix) lostTargets() bool {
	known := m.newestSlot().targets
	for _, w := range m.sums {
		for r, n := range w.targets {
			if float64(known[r]) < (1-maxLost)*float64(n) {
				return true
			}
		}
	}
	return false
}
