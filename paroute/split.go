package paroute

import "slices"

// Splitter divides requests among parts by smooth weighted round robin, so that after any number of
// requests each part has its share to within one request. Drawing lots instead would leave a part of
// weight 0.1 a tenth off its share after 300 requests once in a few dozen routes. The zero value is
// ready.
type Splitter struct {
	// Seed says where in the round the first request is. It differs between entry VMs.
	//
	// Load: many entry VMs with a few requests each. Harm prevented: all begin with the part of most weight, and
	// one of little weight gets nothing.
	Seed uint64

	// parts are those that credit is of.
	parts  []WeightedService
	credit map[string]float64
}

// rounds bounds the requests before the first one: with weights of a thousandth each place of a round is reached.
const rounds = 1000

// Next returns the service of the next request; it is empty for a route without a part of positive weight.
func (s *Splitter) Next(parts []WeightedService) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	if !slices.Equal(s.parts, parts) {
		s.begin(parts)
	}
	return s.next()
}

// begin takes new parts.
func (s *Splitter) begin(parts []WeightedService) {
	s.parts, s.credit = slices.Clone(parts), make(map[string]float64, len(parts))
	for range s.Seed % rounds {
		s.next()
	}
}

func (s *Splitter) next() string {
	var sum, most float64
	best := ""
	for _, p := range s.parts {
		if p.Weight <= 0 {
			continue
		}
		sum += p.Weight
		s.credit[p.Service] += p.Weight
		if c := s.credit[p.Service]; best == "" || c > most {
			best, most = p.Service, c
		}
	}
	if best != "" {
		s.credit[best] -= sum
	}
	return best
}
