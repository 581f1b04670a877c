package pamember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"papayahead/pabundle"

	"github.com/cespare/xxhash/v2"
)

// digestTree holds the digest of all records, of each region's and of each zone's. A digest is the exclusive or of the
// hashes of its records, so that a change of one record costs three operations. Gone members are left out, because each
// daemon removes its tombstones at a time of its own.
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

// recordHash hashes a record. Suspected counts as Alive: a suspicion ends by itself before a sync could help.
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

// zoneDigests returns the digests of the zones in the given regions.
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

// differing returns the groups whose digests differ between two lists or that are in only one of them.
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

// compareRegions starts a sync if a reply shows that regions differ and the last sync is at least syncInterval ago.
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
	q := Message{
		Kind: SyncZones, From: m.self, Config: m.config, Root: m.digests.root,
		WantedGroups: regions, Digests: m.digests.zoneDigests(regions),
	}
	m.send(out, e, q)
}

// replySync sends the records of the zones that differ, as many as fit into a message, and asks for the peer's.
func (m *Member) replySync(e *entry, v Message, out *Output) {
	zones := differing(v.Digests, m.digests.zoneDigests(v.WantedGroups))
	r := Message{Kind: SyncRecords, From: m.self, Config: m.config, Root: m.digests.root, WantedGroups: zones}
	r.Records, r.Truncated = m.recordsOf(zones)
	if !r.Truncated {
		r.Digests = m.digests.regionDigests()
	}
	m.send(out, e, r)
}

// recordsOf returns the records of zones up to the bound of a message. It starts at a random record, so that a repeated
// request returns others; more says that some did not fit.
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

// continueSync sends the records that were asked for and, while much is missing as after a boot or a partition, sends
// the next request.
func (m *Member) continueSync(now time.Time, e *entry, v Message, out *Output) {
	if len(v.WantedGroups) > 0 {
		r := Message{Kind: SyncRecords, From: m.self, Config: m.config, Root: m.digests.root}
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

// regionsToCompare returns the regions for the next request: those that differ, or those of the records just received.
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
