package paproxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"papayahead/paheader"
	"papayahead/pawire"
)

// FuzzForwardOpen parses arbitrary bytes as a call's first frame: the frame must be refused with an
// error or give an exchange within the limits.
func FuzzForwardOpen(f *testing.F) {
	for _, o := range []*pawire.ForwardOpen{
		{},
		{Call: "c", Origin: "e1", Request: "r", LeftMicroseconds: 1000, Method: "GET", Uri: "/x?y"},
		{Call: "c", Origin: "e1", Request: "r", LeftMicroseconds: 1 << 62, Method: "GET", Uri: "//x"},
		{Call: "c", Origin: "e1", Request: "r r", LeftMicroseconds: -1, Method: "G T", Uri: "x", Length: -2},
		{Call: "c", Origin: "e1", Request: "r", LeftMicroseconds: 9, Method: "POST", Uri: "/%zz", Length: -1,
			Header: []*pawire.ForwardField{{Name: "Connection", Value: "X"}, {Name: "\r\n", Value: "\r\n"}}},
	} {
		b, err := proto.Marshal(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_Open{Open: o}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	now := time.Unix(1000, 0)
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame pawire.ForwardFrame
		if proto.Unmarshal(b, &frame) != nil {
			return
		}
		x, err := exchangeFromOpen(frame.GetOpen(), now)
		if err != nil {
			return
		}
		left := x.request.Deadline.Sub(now)
		if left <= 0 || left > maxDeadline || x.request.Size < -1 || x.uri[0] != '/' || x.request.ID == "" {
			t.Fatalf("accepted %+v", x.request)
		}
		for _, name := range append(paheader.HopByHop, reservedHeaders...) {
			if x.header.Get(name) != "" {
				t.Fatalf("kept %s", name)
			}
		}
	})
}

// FuzzForwardBody reads a body from arbitrary frames: it must end with io.EOF only if the chunks
// are contiguous and add up to the declared length and to the length reported at the end.
func FuzzForwardBody(f *testing.F) {
	f.Add(int64(6), int64(6), "abc", "def", int64(3))
	f.Add(int64(-1), int64(6), "abc", "def", int64(3))
	f.Add(int64(6), int64(6), "abc", "def", int64(0))
	f.Add(int64(5), int64(6), "abc", "def", int64(3))
	f.Add(int64(6), int64(5), "abc", "", int64(3))
	f.Fuzz(func(t *testing.T, declared, length int64, first, second string, offset int64) {
		frames := []*pawire.ForwardFrame{
			{Step: &pawire.ForwardFrame_Body{Body: &pawire.ForwardBody{Data: []byte(first)}}},
			{Step: &pawire.ForwardFrame_Body{Body: &pawire.ForwardBody{Offset: offset, Data: []byte(second)}}},
			{Step: &pawire.ForwardFrame_End{End: &pawire.ForwardEnd{Outcome: int32(Answered), Length: length}}},
		}
		next := func() (*pawire.ForwardFrame, error) {
			if len(frames) == 0 {
				return nil, io.EOF
			}
			frame := frames[0]
			frames = frames[1:]
			return frame, nil
		}
		r := &frameReader{checker: chunkChecker{declared: declared}, next: next, checkEnd: (&peerCall{}).checkEnd}
		got, err := io.ReadAll(r)
		all := int64(len(first) + len(second))
		good := offset == int64(len(first)) && length == all && (declared < 0 || declared == all) &&
			len(first) <= chunkSize && len(second) <= chunkSize
		if good != (err == nil) || good && string(got) != first+second {
			t.Fatalf("good %t, got %q, %v", good, got, err)
		}
	})
}

// FuzzParseRequest passes arbitrary requests that net/http accepts to the proxy's parser.
func FuzzParseRequest(f *testing.F) {
	for _, s := range []string{
		"GET /Services/s/x?y HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /Services/a%2Fb/../c HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nIdempotency-Key: k\r\n\r\nx",
		"GET /Services/ HTTP/1.1\r\nHost: h\r\nPapaya-Deadline: 18446744073709551616\r\n\r\n",
		"PUT http://h/Services/s HTTP/1.1\r\nHost: h\r\nConnection: Papaya-Request-Id, , x\r\nPapaya-Request-Id: 1\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /Services/s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	proxy := &Proxy{Services: anyService{}, Clock: clockwork.NewFakeClock(), NewID: sequentialIDs("x")}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		x, bad := proxy.parse(r)
		if bad != nil {
			if bad.outcome != NotRun || refusalStatus(*bad) < 400 {
				t.Fatalf("refused with %+v", bad)
			}
			return
		}
		left := x.request.Deadline.Sub(x.request.Arrived)
		if left <= 0 || left > 30*time.Second || x.request.ID == "" || !isToken(string(x.request.ID)) {
			t.Fatalf("accepted %+v", x.request)
		}
		if strings.ContainsAny(x.uri, " \r\n") || x.uri[0] != '/' {
			t.Fatalf("accepted path %q", x.uri)
		}
	})
}
