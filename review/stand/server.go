package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	id, server, method, path string
	at                       time.Time
	body                     []byte
}

// server is a stand-in of a server (PROTOCOL.md): slots and a queue, its load in its answers, 421 for others, a beat to the store.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	rec                        *record
	store                      *store
	born                       int64
	listener                   net.Listener

	mutex    sync.Mutex
	running  int
	waiting  int
	sequence int
	slot     chan struct{}
	// runs are the requests that were run, by id.
	runs map[string][]run
	// shedShare is the share of the requests that it rejects although it has free slots.
	shedShare float64
	// extraShare is the share of its answers that it sends a second time, extraDelay later.
	extraShare float64
	extraDelay time.Duration
	extras     int
	// serve, if it is set, replaces how a request is served; it reports whether the connection goes on.
	serve func(c net.Conn, r *http.Request) bool
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.born = l, time.Now().UnixMilli()
	s.slot, s.runs = make(chan struct{}, s.slots), map[string][]run{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.handle(c)
		}
	}()
	go func() {
		for {
			s.beat("ready")
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return nil
}

func (s *server) beat(state string) {
	s.mutex.Lock()
	s.sequence++
	n := s.sequence
	s.mutex.Unlock()
	s.store.put("servers/"+s.id, map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": n, "warmupLeftMs": 0},
	})
}

func (s *server) load() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

// answer formats an answer.
func (s *server) answer(status int, id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Load: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, s.load(), headers, len(body), body)
}

func (s *server) handle(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var writing sync.Mutex
	write := func(b string) {
		writing.Lock()
		defer writing.Unlock()
		io.WriteString(c, b)
	}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		switch expected := r.Header.Get("X-Expected-Instance"); {
		case r.Method == http.MethodGet && r.URL.Path == "/healthz":
			write(s.answer(http.StatusOK, id, "X-Instance-Id: "+s.id+"\r\n", ""))
			continue
		case expected != "" && expected != s.id:
			io.Copy(io.Discard, r.Body)
			write(s.answer(http.StatusMisdirectedRequest, id, "X-Not-Executed: 1\r\nX-Instance-Id: "+s.id+"\r\n", ""))
			continue
		}
		if s.serve != nil {
			if !s.serve(c, r) {
				return
			}
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		out := s.respond(r, id, body)
		write(out)
		s.mutex.Lock()
		again, delay := rand.Float64() < s.extraShare, s.extraDelay
		if again {
			s.extras++
		}
		s.mutex.Unlock()
		if again {
			status, _, _ := strings.Cut(out, "\r\n")
			s.rec.line("server %s: second copy of its answer %q to %s follows in %s", s.id, status, id, delay)
			time.AfterFunc(delay, func() { write(out) })
		}
	}
}

// respond runs a request, or rejects it, and returns the answer.
func (s *server) respond(r *http.Request, id string, body []byte) string {
	s.mutex.Lock()
	if s.shedShare > 0 && s.running < s.slots && rand.Float64() < s.shedShare || s.waiting >= 3*s.slots {
		s.mutex.Unlock()
		s.rec.line("server %s: rejects %s (503, X-Not-Executed)", s.id, id)
		return s.answer(http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n", "")
	}
	s.waiting++
	s.mutex.Unlock()
	s.slot <- struct{}{}
	s.mutex.Lock()
	s.waiting--
	s.running++
	s.runs[id] = append(s.runs[id], run{id: id, server: s.id, method: r.Method, path: r.URL.Path, at: time.Now(), body: body})
	s.mutex.Unlock()
	s.rec.line("server %s: runs %s %s %s", s.id, id, r.Method, r.URL.Path)
	time.Sleep(s.work)
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
	<-s.slot
	text := "done " + id
	return s.answer(http.StatusOK, id, "X-Server-Stamp: "+s.id+"."+strconv.Itoa(len(text))+"\r\n", text)
}
