package proxy

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// scriptedServer runs every request and answers the n-th one with the n-th text, the last one from
// then on, and closes the connection. ID stands for the request's ID in a text.
type scriptedServer struct {
	texts []string
	mu    sync.Mutex
	// runs counts the requests that ran.
	runs int
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	text := s.texts[min(s.runs, len(s.texts)-1)]
	s.runs++
	s.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	// The front may have closed the connection.
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Request-Id")))
	_ = conn.Close()
}

func (s *scriptedServer) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// script makes all servers of both services answer with the texts, which they share.
func (r *harness) script(texts ...string) *scriptedServer {
	s := &scriptedServer{texts: texts}
	for address, stop := range r.stopServer {
		stop()
		r.net.Serve(address, s)
	}
	return s
}
