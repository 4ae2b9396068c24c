package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is a request of a client.
type request struct {
	method, path, key string
	deadline          time.Duration
	// tokens and prefix are the headers of a prompt; empty for a call.
	tokens, prefix string
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	seal   string
	// body is what arrived; whole reports whether the answer was complete.
	body  string
	whole bool
	// err is why there is no answer, or no whole one.
	err string
	// began reports whether the head of an answer arrived.
	began bool
	took  time.Duration
}

// host is the Host header of all requests.
const host = "ficu95.example"

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1))
}

// connection is a kept connection of a client.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection to a gateway.
func connect(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *connection) close() {
	_ = c.conn.Close()
}

// send sends a request and reads its answer. It notes both.
func (c *connection) send(r *run, gateway string, q request) answer {
	a := answer{id: newID()}
	started := time.Now()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", q.method, q.path, host, a.id)
	fmt.Fprintf(&head, "X-Deadline-Ms: %d\r\nX-Credential: %s\r\n", q.deadline.Milliseconds(), q.key)
	if q.tokens != "" {
		fmt.Fprintf(&head, "X-Model: m\r\nX-Token-Counts: %s\r\nX-Prompt-Prefix: %s\r\n", q.tokens, q.prefix)
	}
	head.WriteString("\r\n")
	r.note(event{"event": "sent", "id": a.id, "to": gateway, "path": q.path})
	_ = c.conn.SetDeadline(started.Add(q.deadline))
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		a.err = err.Error()
	} else {
		c.read(&a, q)
	}
	a.took = time.Since(started)
	r.note(event{
		"event": "answered", "id": a.id, "from": gateway, "status": a.status, "seal": a.seal, "whole": a.whole,
		"events": strings.Count(a.body, "id: "), "error": a.err, "took_ms": a.took.Milliseconds(),
	})
	return a
}

// read reads an answer.
func (c *connection) read(a *answer, q request) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = describe(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.began, a.status, a.seal = true, response.StatusCode, response.Header.Get("X-Response-Seal")
	body, err := io.ReadAll(response.Body)
	a.body = string(body)
	if err != nil {
		a.err = describe(err)
		return
	}
	if length := response.Header.Get("Content-Length"); length != "" && length != strconv.Itoa(len(body)) {
		a.err = "wrong length"
		return
	}
	a.whole = true
}

// describe names an error without addresses.
func describe(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "deadline"
	}
	return err.Error()
}

// once sends a request on a new connection.
func (r *run) once(g *process, q request) answer {
	c, err := connect(g.address)
	if err != nil {
		return answer{err: "no connection"}
	}
	defer c.close()
	return c.send(r, g.name, q)
}
