package paroute

import "slices"

// Splitter divides requests among weighted services by smooth weighted round robin, so that after any number of requests each
// service has its share to within one request. A random choice would, after 300 requests, leave a service of weight 0.1 a
// tenth off its share once in a few dozen routes. The zero value is ready for use.
type Splitter struct {
	// Seed sets the position in the round at which the first request is. It differs between entry VMs: if each of many
	// entry VMs handled a few requests and all began with the service of the highest weight, one of low weight would get
	// no requests.
	Seed uint64

	// parts are the services that credits refers to.
	parts   []WeightedService
	credits map[string]float64
}

// maxOffset bounds the start position: 1000 reaches each position of a round with weights in steps of a thousandth.
const maxOffset = 1000

// Next returns the service for the next request. With several services of which none has a positive weight, it is empty.
func (s *Splitter) Next(parts []WeightedService) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	if !slices.Equal(s.parts, parts) {
		s.reset(parts)
	}
	return s.next()
}

// reset starts a new round for changed services, at the position given by Seed.
func (s *Splitter) reset(parts []WeightedService) {
	s.parts, s.credits = slices.Clone(parts), make(map[string]float64, len(parts))
	for range s.Seed % maxOffset {
		s.next()
	}
}

func (s *Splitter) next() string {
	var sum, bestCredit float64
	best := ""
	for _, p := range s.parts {
		if p.Weight <= 0 {
			continue
		}
		sum += p.Weight
		s.credits[p.Service] += p.Weight
		if c := s.credits[p.Service]; best == "" || c > bestCredit {
			best, bestCredit = p.Service, c
		}
	}
	if best != "" {
		s.credits[best] -= sum
	}
	return best
}
