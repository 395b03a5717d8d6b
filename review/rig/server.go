//go:build review

package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Execution is one run of a request at a server.
type Execution struct {
	ID     string
	Server string
	At     time.Time
	Method string
}

// Server is a plain service's server. It serves one request at a time on a connection.
type Server struct {
	ID      string
	Service string
	Zone    string
	// Slots is the number of concurrent requests, Queue that of waiting ones.
	Slots int
	Queue int
	Work  time.Duration
	// Extra returns further bytes that the server sends on a connection when the next request has
	// arrived there, before it answers that request; last is what it sent before on the connection.
	// Nil sends none.
	Extra   func(nextID, lastID string, last []byte) []byte
	rig     *Rig
	lis     net.Listener
	born    int64
	mu      sync.Mutex
	running int
	waiting int
	freed   chan struct{}
	conns   map[net.Conn]bool
	ended   bool
	// Arrivals are the requests that reached the server, run or not; Runs those that ran.
	arrivals []Execution
	runs     []Execution
	answers  int
}

// AddServer starts a server and announces it.
func (r *Rig) AddServer(s *Server) error {
	lis, err := r.Listen()
	if err != nil {
		return err
	}
	s.rig, s.lis, s.freed, s.conns, s.born = r, lis, make(chan struct{}), map[net.Conn]bool{}, time.Now().UnixMilli()
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	if _, err := r.WriteStore("servers/"+s.ID, s.entry("ready")); err != nil {
		return err
	}
	r.Logf("%s: announced", s.ID)
	return nil
}

func (s *Server) entry(state string) map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.lis.Addr().String(), "zone": s.Zone, "version": "1", "slots": s.Slots,
		"state": state, "coldRemainingMs": 0, "sequence": 0, "born": s.born,
	}
}

// Remove removes the server's entry, and returns when the store acknowledged it.
func (s *Server) Remove() (time.Time, error) {
	at, err := s.rig.WriteStore("servers/"+s.ID, nil)
	s.rig.LogAt(at, "store: acknowledges that %s is gone", s.ID)
	return at, err
}

// End closes the server's port and connections, as its process ends.
func (s *Server) End() {
	_ = s.lis.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.rig.Logf("%s: its process ends, %d requests running", s.ID, s.running)
}

// Arrivals returns the requests that reached the server.
func (s *Server) Arrivals() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.arrivals...)
}

// Runs returns the requests that the server ran.
func (s *Server) Runs() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.runs...)
}

// Answers returns the number of answers that the server gave.
func (s *Server) Answers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	lastID, last := "", []byte(nil)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if s.Extra != nil && last != nil {
			if extra := s.Extra(id, lastID, last); len(extra) > 0 {
				s.rig.Logf("%s: sends a second copy of its answer to %s, as %s has arrived on that connection", s.ID, lastID, id)
				if _, err := conn.Write(extra); err != nil {
					return
				}
			}
		}
		answer := s.answer(req, id)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		s.mu.Lock()
		s.answers++
		s.mu.Unlock()
		lastID, last = id, answer
	}
}

// answer handles one request and returns the whole answer.
func (s *Server) answer(req *http.Request, id string) []byte {
	if req.URL.Path == "/health" {
		return s.encode(http.StatusOK, "", "Instance-Id: "+s.ID+"\r\n", "")
	}
	e := Execution{ID: id, Server: s.ID, At: time.Now(), Method: req.Method}
	if expect := req.Header.Get("Expect-Instance"); expect != "" && expect != s.ID {
		return s.encode(http.StatusMisdirectedRequest, id, "Not-Run: 1\r\n", "")
	}
	if id == "" {
		return s.encode(http.StatusBadRequest, id, "Not-Run: 1\r\n", "")
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, e)
	s.mu.Unlock()
	if !s.enter() {
		s.rig.LogAt(e.At, "%s: full, did not run %s %s", s.ID, req.Method, id)
		return s.encode(http.StatusServiceUnavailable, id, "Not-Run: 1\r\n", "full")
	}
	defer s.leave()
	e.At = time.Now()
	s.mu.Lock()
	s.runs = append(s.runs, e)
	s.mu.Unlock()
	s.rig.LogAt(e.At, "%s: runs %s %s", s.ID, req.Method, id)
	time.Sleep(s.Work)
	return s.encode(http.StatusOK, id, "Server-Seal: seal."+s.ID+"."+id+"\r\n", "done by "+s.ID)
}

func (s *Server) encode(status int, id, more, body string) []byte {
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
	s.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "%sServer-Load: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", more, load, len(body), body)
	return []byte(b.String())
}

// enter takes a slot, waiting in the queue; false if the server is full.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots && s.waiting >= s.Queue {
		return false
	}
	s.waiting++
	for s.running >= s.Slots {
		freed := s.freed
		s.mu.Unlock()
		<-freed
		s.mu.Lock()
	}
	s.waiting--
	s.running++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}
