package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// outcome is what a consumer got for one attempt.
type outcome struct {
	id     string
	status int
	stamp  string
	body   []byte
	err    error
	sent   time.Time
}

// promisesNotRun reports whether the answer says that the request has not run and never will (RULES.md, REFUSED).
func (o outcome) promisesNotRun() bool {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// client is a stand-in of a consumer. It keeps connections and sends one request at a time on each.
type client struct {
	address string
	rec     *record
	mutex   sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used time.Time
}

// maxIdle is how long an idle connection is used again: less than four fifths of the limit in the configuration.
const maxIdle = 8 * time.Second

func (c *client) conn() (*clientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.idle) > 0 {
		n := len(c.idle)
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(k.used) < maxIdle {
			return k, nil
		}
		k.Close()
	}
	raw, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, in: bufio.NewReader(raw)}, nil
}

// do sends a request and awaits its answer.
func (c *client) do(method, host, path, id, cookie string, deadline time.Duration, body string) (o outcome) {
	o = outcome{id: id, sent: time.Now()}
	k, err := c.conn()
	if err != nil {
		o.err = err
		return o
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if cookie != "" {
		head += "Cookie: X-Affinity-Key=" + cookie + "\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	k.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(k, head+"\r\n"+body); err != nil {
		k.Close()
		o.err = err
		return o
	}
	r, err := http.ReadResponse(k.in, &http.Request{Method: method})
	if err != nil {
		k.Close()
		o.err = err
		return o
	}
	o.status, o.stamp = r.StatusCode, r.Header.Get("X-Server-Stamp")
	o.body, err = io.ReadAll(r.Body)
	if got := r.Header.Get("X-Request-Id"); err == nil && got != "" && got != id {
		err = errors.New("answer bears the id " + got)
	}
	if err != nil || r.Close {
		k.Close()
		o.err = err
		return o
	}
	k.SetDeadline(time.Time{})
	c.mutex.Lock()
	k.used = time.Now()
	c.idle = append(c.idle, k)
	c.mutex.Unlock()
	return o
}
