package paheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// HopByHop are the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var HopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the HopByHop fields and those listed in its Connection field.
func EndToEnd(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			c.Del(textproto.TrimString(name))
		}
	}
	for _, name := range HopByHop {
		c.Del(name)
	}
	return c
}
