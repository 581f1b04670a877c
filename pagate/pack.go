package pagate

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"papayahead/pafleet"
)

// maxDeltaBytes bounds an unpacked delta: the store's values are at most a megabyte, and a whole view holds one
// large one and a few hundred bytes for each target.
const maxDeltaBytes = 16 << 20

// encodeDelta writes a delta for a neighbour. A configuration of hundreds of routes shrinks to a tenth, and links of
// entry VMs are as narrow as 10 Mbit/s.
func encodeDelta(d *pafleet.Delta) ([]byte, error) {
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := json.NewEncoder(z).Encode(d); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := z.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// decodeDelta reads what pack wrote.
func decodeDelta(b []byte, into *pafleet.Delta) error {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(z, maxDeltaBytes)).Decode(into))
}
