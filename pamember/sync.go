package pamember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"papayahead/pabundle"

	"github.com/cespare/xxhash/v2"
)

// digestTree holds a digest of all records, of each region's and of each zone's. Digests are sums by exclusive or of
// hashes of records, so that one change costs three operations. Gone members are left out, because each daemon drops
// its tombstones in its own time.
type digestTree struct {
	root    uint64
	regions map[pabundle.RegionName]uint64
	zones   map[pabundle.ZoneName]zoneDigest
}

type zoneDigest struct {
	region  pabundle.RegionName
	digest  uint64
	members int
}

func (t *digestTree) init() {
	t.regions = map[pabundle.RegionName]uint64{}
	t.zones = map[pabundle.ZoneName]zoneDigest{}
}

// recordHash takes Suspected for Alive: a suspicion ends by itself before any comparison could help it.
func recordHash(r Record) uint64 {
	s := r.State
	if s == Suspected {
		s = Alive
	}
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.Incarnation))
	b[8] = byte(s)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(r.Name))
	_, _ = d.Write(b[:])
	return mix(d.Sum64())
}

func (t *digestTree) add(r Record)    { t.toggle(r, 1) }
func (t *digestTree) remove(r Record) { t.toggle(r, -1) }

func (t *digestTree) replace(old, r Record) {
	t.remove(old)
	t.add(r)
}

func (t *digestTree) toggle(r Record, n int) {
	if r.State.Gone() {
		return
	}
	h := recordHash(r)
	t.root ^= h
	t.regions[r.Region] ^= h
	z := t.zones[r.Zone]
	z.region = r.Region
	z.digest ^= h
	z.members += n
	t.zones[r.Zone] = z
}

func (t *digestTree) regionDigests() []GroupDigest {
	all := make([]GroupDigest, 0, len(t.regions))
	for n, d := range t.regions {
		all = append(all, GroupDigest{Group: group(string(n)), Digest: d})
	}
	return sortAndLimit(all)
}

// zoneDigests returns the zones of the regions.
func (t *digestTree) zoneDigests(regions []uint32) []GroupDigest {
	var all []GroupDigest
	for n, z := range t.zones {
		if slices.Contains(regions, group(string(z.region))) {
			all = append(all, GroupDigest{Group: group(string(n)), Digest: z.digest})
		}
	}
	return sortAndLimit(all)
}

func sortAndLimit(all []GroupDigest) []GroupDigest {
	slices.SortFunc(all, func(a, b GroupDigest) int { return cmp.Compare(a.Group, b.Group) })
	return all[:min(len(all), maxGroups)]
}

// differing returns the groups that two lists do not hold alike.
func differing(a, b []GroupDigest) []uint32 {
	var d []uint32
	for _, x := range a {
		if !slices.Contains(b, x) {
			d = append(d, x.Group)
		}
	}
	for _, x := range b {
		if !slices.Contains(a, x) && !slices.Contains(d, x.Group) {
			d = append(d, x.Group)
		}
	}
	return d
}

// compareRegions begins a synchronization if a reply shows that regions differ and the last one is some time ago.
func (m *Member) compareRegions(now time.Time, e *entry, v Message, out *Output) {
	if len(v.Digests) == 0 || !m.isDue(now, &m.schedule.sync, syncInterval) {
		return
	}
	m.schedule.syncRequestsLeft = maxSyncRequests
	m.requestZones(e, differing(v.Digests, m.digests.regionDigests()), out)
}

func (m *Member) requestZones(e *entry, regions []uint32, out *Output) {
	const atOnce = 8
	if len(regions) == 0 {
		return
	}
	if len(regions) > atOnce {
		m.random.Shuffle(len(regions), func(i, j int) { regions[i], regions[j] = regions[j], regions[i] })
		regions = regions[:atOnce]
	}
	q := Message{Kind: SyncZones, From: m.self, Config: m.advert, Root: m.digests.root, WantedGroups: regions, Digests: m.digests.zoneDigests(regions)}
	m.send(out, e, q)
}

// replySync sends the records of zones that differ, as many as a message holds, and asks for the peer's.
func (m *Member) replySync(e *entry, v Message, out *Output) {
	zones := differing(v.Digests, m.digests.zoneDigests(v.WantedGroups))
	r := Message{Kind: SyncRecords, From: m.self, Config: m.advert, Root: m.digests.root, WantedGroups: zones}
	r.Records, r.Truncated = m.recordsOf(zones)
	if !r.Truncated {
		r.Digests = m.digests.regionDigests()
	}
	m.send(out, e, r)
}

// recordsOf returns the records of zones up to the bound of a message, from a random start so that a repeated
// question brings others; more says that some did not fit.
func (m *Member) recordsOf(zones []uint32) (all []Record, more bool) {
	n := len(m.index.all)
	start := m.random.IntN(max(n, 1))
	for i := range n {
		e := m.index.all[(start+i)%n]
		if !slices.Contains(zones, group(string(e.record.Zone))) {
			continue
		}
		if len(all) == maxSyncRecords {
			return all, true
		}
		all = append(all, e.record)
	}
	return all, false
}

// continueSync sends back what was asked for and, while a boot or a healed cut leaves much to fetch, asks on.
func (m *Member) continueSync(now time.Time, e *entry, v Message, out *Output) {
	if len(v.WantedGroups) > 0 {
		r := Message{Kind: SyncRecords, From: m.self, Config: m.advert, Root: m.digests.root}
		r.Records, _ = m.recordsOf(v.WantedGroups)
		if len(r.Records) > 0 {
			m.send(out, e, r)
		}
	}
	if v.Root == m.digests.root || m.schedule.syncRequestsLeft <= 0 {
		return
	}
	m.schedule.syncRequestsLeft--
	if v.Truncated || len(v.Digests) > 0 {
		m.requestZones(e, m.regionsToCompare(v), out)
	}
}

// regionsToCompare returns the regions to compare next: those that differ, or the regions of the zones just received.
func (m *Member) regionsToCompare(v Message) []uint32 {
	if len(v.Digests) > 0 {
		return differing(v.Digests, m.digests.regionDigests())
	}
	var open []uint32
	for _, r := range v.Records {
		if g := group(string(r.Region)); !slices.Contains(open, g) {
			open = append(open, g)
		}
	}
	return open
}
