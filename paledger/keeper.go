package paledger

import (
	"github.com/cespare/xxhash/v2"

	"papayahead/pabundle"
)

// HomeRegion returns the region of a key's keeper: the one with the highest rendezvous hash among the
// service's candidate regions (CandidateRegions). It returns "" if there are none.
func HomeRegion(id ID, regions []pabundle.RegionName) pabundle.RegionName {
	return highestScore(id, regions)
}

// Keeper returns the keeper of a key: the entry VM with the highest rendezvous hash among the members of
// the key's home region. It returns "" if there are none.
func Keeper(id ID, members []pabundle.EntryName) pabundle.EntryName {
	return highestScore(id, members)
}

func highestScore[N ~string](id ID, names []N) N {
	var best N
	var most uint64
	for _, n := range names {
		if s := score(id, string(n)); best == "" || s > most || s == most && n < best {
			best, most = n, s
		}
	}
	return best
}

// score hashes each string with its length, so that different splits of the same text differ.
func score(id ID, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{name, string(id.Service), id.Key} {
		_, _ = d.Write([]byte{byte(len(s)), byte(len(s) >> 8)})
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}

// CandidateRegions returns the regions that have targets of each service, in the order of the bundle.
func CandidateRegions(b *pabundle.Bundle) map[pabundle.ServiceName][]pabundle.RegionName {
	regionOf := make(map[pabundle.ZoneName]pabundle.RegionName)
	for _, r := range b.Regions {
		for _, z := range r.Zones {
			regionOf[z] = r.Name
		}
	}
	homes := make(map[pabundle.ServiceName][]pabundle.RegionName)
	for _, s := range b.Services {
		has := make(map[pabundle.RegionName]bool)
		for _, t := range s.Targets {
			has[regionOf[t.Zone]] = true
		}
		for _, r := range b.Regions {
			if has[r.Name] {
				homes[s.Name] = append(homes[s.Name], r.Name)
			}
		}
	}
	return homes
}
