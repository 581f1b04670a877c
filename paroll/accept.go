package paroll

import "papayahead/pabundle"

// Decision is the result of Accept: what a daemon does with a head that it received.
type Decision string

// The values of Decision.
const (
	// Take means that the head has a higher sequence and replaces the current one.
	Take Decision = "Take"
	// Same means that the head is the current one.
	Same Decision = "Same"
	// Older means that the head has a lower sequence than the current one.
	Older Decision = "Older"
	// Foreign means that the head belongs to another deployment.
	Foreign Decision = "Foreign"
	// Malformed means that the head has no sequence or no valid digest.
	Malformed Decision = "Malformed"
	// Fork means that the head differs from the current one but has the same sequence. An alarm is raised
	// and the current head stays.
	Fork Decision = "Fork"
)

// String returns the decision's name.
func (d Decision) String() string { return string(d) }

// Accept decides whether a head from the store or a neighbour replaces the current one; the zero Head
// means that there is none.
//
// Heads arrive from several sources, late and out of order: after an outage, after a network partition,
// or from a neighbour that started with an old one. Only a higher sequence is accepted, so all daemons
// converge to the same head in any order of arrival, and none goes back.
//
// Two heads with the same sequence cannot result from compare-and-swap in the store. They mean that the
// store lost writes, for example because it was restored from a backup. Then neither head wins, not even
// the store's, because a daemon that switched would alternate as it receives both. The current head
// stays, the alarm notifies an operator, and a roll-out with a Floor above both sequences resolves the
// conflict.
func Accept(current, candidate pabundle.Head, deployment string) Decision {
	switch {
	case candidate.Deployment != deployment:
		return Foreign
	case candidate.Sequence == 0 || !candidate.Digest.Valid():
		return Malformed
	case candidate.Sequence > current.Sequence:
		return Take
	case candidate.Sequence < current.Sequence:
		return Older
	case candidate.Digest != current.Digest || candidate.RollID != current.RollID:
		return Fork
	default:
		return Same
	}
}
