package pabuffer

// Claim is what one connection or request has taken from a Budget. The zero value has taken nothing. It is not safe for concurrent use.
type Claim struct {
	Budget *Budget
	taken  [parts]int64
}

// Take takes further bytes for a part, and reports whether there was room.
func (c *Claim) Take(p Part, n int64) bool {
	if !c.Budget.Take(p, n) {
		return false
	}
	c.taken[p] += n
	return true
}

// firstBytes is how many bytes a Claim takes as Connections, before it takes from another part: an ordinary request, whose head of some
// thirty lines costs as much, finds room while that part is used up.
const firstBytes = 32 << 10

// step is by how much a Claim grows at least.
const step = 4 << 10

// GrowTo takes what is missing of a number of bytes for a part: the first of them as Connections. It reports whether there was room.
func (c *Claim) GrowTo(p Part, n int64) bool {
	missing := n - c.taken[p] - c.taken[Connections]
	if missing <= 0 {
		return true
	}
	missing = max(missing, step)
	if first := min(missing, firstBytes-c.taken[Connections]); first > 0 {
		if !c.Take(Connections, first) {
			return false
		}
		missing -= first
	}
	return missing == 0 || c.Take(p, missing)
}

// Move moves all that another Claim has taken to this one.
func (c *Claim) Move(from *Claim) {
	for p, n := range from.taken {
		c.taken[p] += n
	}
	from.taken = [parts]int64{}
}

// PutBack returns what was taken for a part.
func (c *Claim) PutBack(p Part) {
	c.Budget.PutBack(p, c.taken[p])
	c.taken[p] = 0
}

// Release returns everything.
func (c *Claim) Release() {
	for p := range c.taken {
		c.PutBack(Part(p))
	}
}
