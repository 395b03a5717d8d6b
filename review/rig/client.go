//go:build review

package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// Answer is what a client saw of one request.
type Answer struct {
	ID     string
	SentAt time.Time
	EndAt  time.Time
	// Status is 0 if there was no whole answer.
	Status int
	Seal   string
	Body   string
	Err    error
}

// Send sends one client attempt on a new connection and waits for its end.
func (f *Front) Send(method, path, body string, deadline time.Duration, more map[string]string) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", 0x5000000000000000+lastID.Add(1)), SentAt: time.Now()}
	a.Status, a.Seal, a.Body, a.Err = f.send(a.ID, method, path, body, deadline, more)
	a.EndAt = time.Now()
	return a
}

func (f *Front) send(id, method, path, body string, deadline time.Duration, more map[string]string) (status int, seal, answer string, err error) {
	conn, err := net.DialTimeout("tcp4", f.Callers, time.Second)
	if err != nil {
		return 0, "", "", err
	}
	defer conn.Close()
	// Clients wait a little longer than the deadline that they state.
	if err := conn.SetDeadline(time.Now().Add(deadline + time.Second)); err != nil {
		return 0, "", "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n", method, path, id, deadline.Milliseconds())
	for k, v := range more {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return 0, "", "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, "", "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", "", err
	}
	return res.StatusCode, res.Header.Get("Server-Seal"), string(data), nil
}
