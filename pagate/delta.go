package pagate

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"papayahead/pafleet"
)

// maxDeltaBytes bounds a decompressed delta. Values in the store are at most 1 MB; a whole view holds one large value
// and a few hundred bytes for each target.
const maxDeltaBytes = 16 << 20

// encodeDelta encodes a delta as gzipped JSON. A configuration with hundreds of routes shrinks to a tenth, which
// matters as links of entry VMs may have only 10 Mbit/s.
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

// decodeDelta decodes the output of encodeDelta.
func decodeDelta(b []byte, into *pafleet.Delta) error {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(z, maxDeltaBytes)).Decode(into))
}
