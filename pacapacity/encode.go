package pacapacity

import (
	"papayahead/pamember"
	"papayahead/pawire"

	"google.golang.org/protobuf/proto"
)

// decode reads what a node encoded; that it can't be read is a broken invariant.
func decode(b []byte) pamember.Message {
	var w pawire.MemberMessages
	if err := proto.Unmarshal(b, &w); err != nil {
		panic(err)
	}
	all, err := pamember.FromWire(&w)
	if err != nil {
		panic(err)
	}
	return all[0]
}
