package paledger

import (
	"github.com/cespare/xxhash/v2"

	"papayahead/pabundle"
)

// HomeRegion returns the region that keeps a key: the one with the highest rendezvous score among those
// that have targets of the service. It depends on the bundle only. It returns "" for no regions.
func HomeRegion(id ID, regions []pabundle.RegionName) pabundle.RegionName {
	return highest(id, regions)
}

// Keeper returns the entry VM that keeps a key among the members of its home region, "" for none.
func Keeper(id ID, members []pabundle.EntryName) pabundle.EntryName {
	return highest(id, members)
}

func highest[N ~string](id ID, names []N) N {
	var best N
	var most uint64
	for _, n := range names {
		if s := score(id, string(n)); best == "" || s > most || s == most && n < best {
			best, most = n, s
		}
	}
	return best
}

// score hashes the parts with their lengths, so that no two identities read alike.
func score(id ID, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{name, string(id.Service), id.Key} {
		_, _ = d.Write([]byte{byte(len(s)), byte(len(s) >> 8)})
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}

// CandidateRegions returns the regions that have targets of each service, in the bundle's order.
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
