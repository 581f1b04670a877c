package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadBytes is the length of a request's body, well below maxBodyBytes; it is sent in pieces of pieceBytes, a piece each pieceGap.
	uploadBytes = 600 << 10
	pieceBytes  = 16 << 10
	pieceGap    = 20 * time.Millisecond
	// answerBytes is the length of an answer's body.
	answerBytes = 400 << 10
	// earlyAfter is how much of the body a server has read when it answers early.
	earlyAfter = 32 << 10
)

// pattern returns a body in which each word tells its place.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := 0; i+8 <= n; i += 8 {
		binary.BigEndian.PutUint64(b[i:], uint64(i))
	}
	return b
}

// upload is what a server read of a request's body.
type upload struct {
	id, server string
	body       []byte
	// whole says that the body ended as the protocol says.
	whole bool
}

// playEarlyAnswer has servers answer a part of the long requests before they have read them, keep the connection and read on later.
func playEarlyAnswer(rec *record, folder string) int {
	config := map[string]any{
		"version": 7,
		"routes": map[string]any{"r-upload": map[string]any{
			"host": "nony93.example", "pathPrefix": "/upload/", "kind": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 2500,
			"priority": 0, "service": "labbook", "maxAttempts": 2, "cacheAffinity": true, "allowedRegions": []string{},
		}},
		"services": map[string]any{"labbook": map[string]any{"healthCheck": "/healthz", "maxConns": 330, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 6.1}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	d, err := launch(rec, folder, plan{
		gates: siteGates, services: []string{"labbook"}, serverZones: siteServers, slots: 4, config: config,
	})
	defer d.stop()
	if err != nil {
		rec.say("cannot run: %v", err)
		return cannotRun
	}
	var mutex sync.Mutex
	var uploads []upload
	for i, s := range d.servers {
		early := d.trouble && i%2 == 0
		s.serve = func(c net.Conn, r *http.Request) bool {
			u, keep := s.takeUpload(c, r, early)
			mutex.Lock()
			defer mutex.Unlock()
			uploads = append(uploads, u)
			return keep
		}
	}
	d.sendUploads(20 * time.Second)
	time.Sleep(2 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	wrong, cut := 0, 0
	want := pattern(uploadBytes)
	for _, u := range uploads {
		switch {
		case u.whole && bytes.Equal(u.body, want):
		case !u.whole && bytes.HasPrefix(want, u.body):
			cut++
		default:
			wrong++
			at := 0
			for at < len(u.body) && at < len(want) && u.body[at] == want[at] {
				at++
			}
			rec.line("BROKEN UNASKED: server %s read %d bytes of the body of %s (sent: %d), other bytes from %d on; the body ended as a whole one: %t",
				u.server, len(u.body), u.id, len(want), at, u.whole)
		}
	}
	rec.say("%d uploads at servers: %d cut short, %d with other bytes where the rest of the body is due", len(uploads), cut, wrong)
	if wrong > 0 {
		return broken
	}
	return held
}

// takeUpload reads a body and answers: in the end, or early.
func (s *server) takeUpload(c net.Conn, r *http.Request, early bool) (u upload, keep bool) {
	u = upload{id: r.Header.Get("X-Request-Id"), server: s.id}
	s.rec.line("server %s: runs %s %s, early answer %t", s.id, u.id, r.URL.Path, early)
	out := s.answer(http.StatusOK, u.id, "X-Server-Stamp: "+s.id+"\r\n", string(pattern(answerBytes)))
	if early {
		u.body = make([]byte, earlyAfter)
		if _, err := io.ReadFull(r.Body, u.body); err != nil {
			return u, false
		}
		go io.WriteString(c, out)
	}
	rest, err := io.ReadAll(r.Body)
	u.body = append(u.body, rest...)
	u.whole = err == nil
	s.rec.line("server %s: read %d bytes of the body of %s, %v", s.id, len(u.body), u.id, err)
	if err != nil {
		return u, false
	}
	if !early {
		io.WriteString(c, out)
	}
	return u, true
}

// sendUploads sends long requests to each gate for a time, from a consumer at each.
func (d *deployment) sendUploads(length time.Duration) {
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for k, g := range d.gates {
		for w := range 1 {
			done.Add(1)
			go func() {
				defer done.Done()
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("%x%02x%06x", k+10, w, i)
					d.rec.line("consumer sends %s to %s", id, g.name)
					status, n, err := sendUpload(g.front, id)
					d.rec.line("consumer of %s gets %d with %d bytes, %v", id, status, n, err)
				}
			}()
		}
	}
	done.Wait()
}

// sendUpload sends a long request in chunks, reading its answer meanwhile.
func sendUpload(address, id string) (status, length int, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(7 * time.Second))
	head := "POST /upload/ HTTP/1.1\r\nHost: nony93.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 6000\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return 0, 0, err
	}
	sent := make(chan error, 1)
	go func() { sent <- sendChunks(c, pattern(uploadBytes)) }()
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, err
	}
	b, err := io.ReadAll(r.Body)
	if err == nil && !bytes.Equal(b, pattern(answerBytes)) && r.StatusCode == http.StatusOK {
		err = errors.New("another body than the server's")
	}
	return r.StatusCode, len(b), errors.Join(err, <-sent)
}

func sendChunks(c net.Conn, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), pieceBytes)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(pieceGap)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}
