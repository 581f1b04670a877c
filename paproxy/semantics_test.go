package paproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// echoTarget runs the handler as a target that repeats the request ID.
func echoTarget(t testing.TB, h http.HandlerFunc) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// forEachPath runs the test with a local target and with a forwarded request.
func forEachPath(t *testing.T, target netip.AddrPort, test func(g *WithT, p *entryPair)) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded=%t", forwarded), func(t *testing.T) {
			p := newPair(t)
			p.address = target
			if !forwarded {
				p.proxy.Placer = placeFunc(func(context.Context, Request) Placement { return p.local() })
			}
			test(NewWithT(t), p)
		})
	}
}

func TestHeadersAndTrailers(t *testing.T) {
	target := echoTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set(ComeBackHeader, "99")
		w.Header().Add("Set-Cookie", "a=1")
		w.Header().Add("Set-Cookie", "b=2")
		_, _ = fmt.Fprintf(w, "%s|%s|%s|%s|%s|%s", r.RequestURI, r.Header.Get("X-Hop"), r.Header.Get("X-Keep"),
			r.Trailer.Get("X-Up"), r.Header.Get("Te"), r.Header.Get(AttemptHeader))
		w.Header().Set("X-Sum", "7")
	})
	forEachPath(t, target, func(g *WithT, p *entryPair) {
		r, _ := http.NewRequest("POST", p.url+"/Services/s/a%2Fb//c?x=1;2", io.MultiReader(strings.NewReader("body")))
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Keep", "2")
		r.Header.Set("Te", "trailers")
		r.Header.Set(AttemptHeader, "9")
		r.Trailer = http.Header{"X-Up": {"up"}}
		a := p.do(r)
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(string(a.body)).To(Equal("/a%2Fb//c?x=1;2||2|up||1"))
		g.Expect(a.trailer.Get("X-Sum")).To(Equal("7"))
		g.Expect(a.header.Values("Set-Cookie")).To(Equal([]string{"a=1", "b=2"}))
		g.Expect(a.header.Get("X-Hop")).To(BeEmpty())
		g.Expect(a.header.Get(ComeBackHeader)).To(BeEmpty())
	})
}

func TestBodilessAndInterimResponses(t *testing.T) {
	target := echoTarget(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/204":
			w.WriteHeader(http.StatusNoContent)
		case "/304":
			w.Header().Set("Etag", `"x"`)
			w.WriteHeader(http.StatusNotModified)
		case "/flood":
			for r.Context().Err() == nil {
				w.WriteHeader(http.StatusEarlyHints)
			}
		case "/early":
			w.Header().Set("Link", "</style.css>")
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "final")
		}
	})
	forEachPath(t, target, func(g *WithT, p *entryPair) {
		for _, status := range []int{204, 304} {
			r := p.ask("GET", fmt.Sprintf("/Services/s/%d", status), "x", "")
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.status).To(Equal(status))
			g.Expect(r.header.Get(OutcomeHeader)).To(Equal("Answered"))
		}
		g.Expect(p.ask("POST", "/Services/s/flood", "x", "", DeadlineHeader, "3000").status).To(Equal(http.StatusBadGateway))
		var hints atomic.Value
		q, _ := http.NewRequest("GET", p.url+"/Services/s/early", nil)
		q = q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{
			Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
				hints.Store(fmt.Sprint(code, h.Get("Link")))
				return nil
			},
		}))
		r := p.do(q)
		g.Expect(string(r.body)).To(Equal("final"))
		g.Expect(hints.Load()).To(Equal("103</style.css>"))
	})
}

// Guards against uploads that are refused after they were sent: 100 Continue must wait for
// admission.
func TestContinueOnlyAfterAdmission(t *testing.T) {
	target := echoTarget(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	forEachPath(t, target, func(g *WithT, p *entryPair) {
		admit := p.proxy.Placer
		for _, refused := range []bool{false, true} {
			p.proxy.Placer = admit
			if refused {
				p.proxy.Placer = placeFunc(func(context.Context, Request) Placement { return Refuse{Reason: "Full"} })
			}
			c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			_, _ = fmt.Fprint(c, "POST /Services/s/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
			b := bufio.NewReader(c)
			line, err := b.ReadString('\n')
			g.Expect(err).NotTo(HaveOccurred())
			if refused {
				g.Expect(line).To(HavePrefix("HTTP/1.1 503"))
				_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
				rest, err := io.ReadAll(b)
				g.Expect(err).NotTo(HaveOccurred(), "the connection stays open to read the body of a refused request")
				g.Expect(string(rest)).NotTo(ContainSubstring("HTTP/1.1 100"))
				continue
			}
			g.Expect(line).To(HavePrefix("HTTP/1.1 100"))
			_, _ = fmt.Fprint(c, "12345")
			_, _ = b.ReadString('\n')
			response, err := http.ReadResponse(b, nil)
			g.Expect(err).NotTo(HaveOccurred())
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			g.Expect(string(body)).To(Equal("5"))
		}
	})
}

// Guards against request smuggling by ambiguous framing, headers without end, and callers that hold
// connections by sending nothing.
func TestBadInputIsRefused(t *testing.T) {
	b := newBench(t)
	limits := Limits{MaxHeader: 8 << 10, HeaderTimeout: 100 * time.Millisecond, BodyIdleTimeout: 100 * time.Millisecond, MaxBody: 1000}
	b.proxy.Limits = limits
	address := serve(t, limits.Server(b.proxy), NewFramingListener).String()
	const post = "POST /Services/s/ HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct{ sent, status string }{
		"both framings":          {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"both framings, no body": {post + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n", "400"},
		"bare line feeds":        {"POST /Services/s/ HTTP/1.1\nHost: h\ncontent-length: 4\nTransfer-Encoding: chunked\n\n0\n\n", "400"},
		"two lengths":            {post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n123456", "400"},
		"two encodings":          {post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", "501"},
		"space before colon":     {post + "Content-Length : 5\r\n\r\n12345", "400"},
		"folded header":          {post + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n", "200"},
		"HTTP/1.0":               {"GET /Services/s/ HTTP/1.0\r\n\r\n", "400"},
		"trace":                  {"TRACE /Services/s/ HTTP/1.1\r\nHost: h\r\n\r\n", "405"},
		"huge header":            {post + "X: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", "431"},
		"slow header":            {post, ""},
		"long body":              {post + "Content-Length: 1001\r\n\r\n", "413"},
		"endless body":           {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("100\r\n"+strings.Repeat("x", 256)+"\r\n", 5), "413"},
		"slow body":              {post + "Content-Length: 10\r\n\r\n12345", "502"},
		"bad deadline":           {post + "Papaya-Deadline: -1\r\n\r\n", "400"},
		"two request IDs":        {post + "Papaya-Request-Id: a\r\nPapaya-Request-Id: b\r\n\r\n", "400"},
		"ID with spaces":         {post + "Papaya-Request-Id: a b\r\n\r\n", "400"},
		"unknown service":        {"GET /Services/none/ HTTP/1.1\r\nHost: h\r\n\r\n", "404"},
		"good chunked":           {post + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n", "200"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			// Send a valid request first: the framing check must also work for the connection's second
			// request.
			_, err = io.WriteString(conn, "GET /Services/s/ HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			b := bufio.NewReader(conn)
			first, err := http.ReadResponse(b, nil) //nolint:bodyclose // read to its end
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(io.Copy(io.Discard, first.Body)).To(BeZero())
			_, _ = io.WriteString(conn, c.sent)
			line, err := b.ReadString('\n')
			if c.status == "" {
				g.Expect(err).To(Equal(io.EOF))
				return
			}
			g.Expect(line).To(MatchRegexp("^HTTP/1.[01] " + c.status))
		})
	}
	NewWithT(t).Eventually(b.target.InFlight).Should(BeZero())
}

// Neither the origin nor the owner may buffer a large body in memory.
func TestStreamingMemoryIsBounded(t *testing.T) {
	const size, bound = 128 << 20, 24 << 20
	target := echoTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	forEachPath(t, target, func(g *WithT, p *entryPair) {
		r, _ := http.NewRequest("POST", p.url+"/Services/archive/", io.LimitReader(zeros{}, size))
		before := heap()
		response, err := p.client.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var peak, n int64
		buffer := make([]byte, 1<<20)
		for err == nil {
			var k int
			k, err = io.ReadFull(response.Body, buffer)
			n += int64(k)
			if n%(16<<20) == 0 {
				peak = max(peak, heap()-before)
			}
		}
		g.Expect(n).To(Equal(int64(size)))
		g.Expect(peak).To(BeNumerically("<", bound))
		t.Logf("%d MB both ways: heap grew by at most %d KB", size>>20, peak>>10)
	})
}

// heap returns the bytes of live objects.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
