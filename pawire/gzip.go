package pawire

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// maxDecodedBytes bounds a decompressed message. Values in the store are at most 1 MB; a whole view holds one large value
// and a few hundred bytes for each target.
const maxDecodedBytes = 16 << 20

// EncodeGzip encodes what neighbours tell each other of the store as gzipped JSON. A configuration with hundreds of routes
// shrinks to a tenth, which matters as links of entry VMs may have only 10 Mbit/s.
func EncodeGzip(v any) ([]byte, error) {
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := json.NewEncoder(z).Encode(v); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := z.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// DecodeGzip decodes the output of EncodeGzip.
func DecodeGzip(b []byte, into any) error {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(z, maxDecodedBytes)).Decode(into))
}
