package heads

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// TestTransportServesAllSchemes guards against sound answers that are refused as their connection was taken for
// another kind: encrypted ones, those to HEAD requests, later ones on a connection, and those by a proxy.
func TestTransportServesAllSchemes(t *testing.T) {
	for _, c := range []struct {
		name         string
		isTLS, proxy bool
	}{{"plain", false, false}, {"TLS", true, false}, {"TLS through a proxy", true, true}, {"plain through a proxy", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			odd, connections := false, atomic.Int32{}
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !odd {
					_, _ = io.Copy(w, r.Body)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n")
				_ = conn.Close()
			}))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			if c.isTLS {
				s.StartTLS()
			} else {
				s.Start()
			}
			defer s.Close()
			base, ok := s.Client().Transport.(*http.Transport)
			g.Expect(ok).To(BeTrue())
			if c.proxy {
				p := httptest.NewServer(http.HandlerFunc(forward))
				defer p.Close()
				address, err := url.Parse(p.URL)
				g.Expect(err).NotTo(HaveOccurred())
				base.Proxy = http.ProxyURL(address)
			}
			client := &http.Client{Transport: Transport(base)}
			defer client.CloseIdleConnections()
			for _, method := range []string{http.MethodPost, http.MethodHead, http.MethodPost, http.MethodHead} {
				req, err := http.NewRequestWithContext(t.Context(), method, s.URL, strings.NewReader(strings.Repeat("HEAD ", 2000)))
				g.Expect(err).NotTo(HaveOccurred())
				res, err := client.Do(req)
				g.Expect(err).NotTo(HaveOccurred())
				data, err := io.ReadAll(res.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(data) > 0).To(Equal(method == http.MethodPost))
				_ = res.Body.Close()
			}
			g.Expect(connections.Load()).To(BeEquivalentTo(1))
			odd = true
			res, err := client.Get(s.URL)
			if err == nil {
				_ = res.Body.Close()
			}
			var broken *GrammarError
			g.Expect(errors.As(err, &broken)).To(Equal(!c.proxy), "%v", err)
		})
	}
}

// cutConn has sent an answer and then a reset, which its writes take.
type cutConn struct {
	net.Conn
	io.Reader
	err error
}

func (c *cutConn) Read(p []byte) (int, error)  { return c.Reader.Read(p) }
func (c *cutConn) Write(p []byte) (int, error) { return len(p) / 2, c.err }

// TestFailedWriteLeavesNoProvedEnd guards against the end of file after a failed write being taken for the end
// of a body; a body with a length proves its end itself.
func TestFailedWriteLeavesNoProvedEnd(t *testing.T) {
	for _, c := range []struct {
		name, fields string
		writeErr     error
		isCut        bool
	}{
		{"no length", "", io.ErrClosedPipe, true},
		{"length", "Content-Length: 4\r\n", io.ErrClosedPipe, false},
		{"no length, request written", "", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			conn := newJudgedConn(&cutConn{Reader: strings.NewReader("HTTP/1.1 200 OK\r\n" + c.fields + "\r\npart"), err: c.writeErr})
			_, err := conn.Write(make([]byte, 10))
			g.Expect(err == nil).To(Equal(c.writeErr == nil))
			_, err = io.ReadAll(conn)
			var cut *CutUploadError
			g.Expect(errors.As(err, &cut)).To(Equal(c.isCut), "%v", err)
			if c.isCut {
				g.Expect(*cut).To(Equal(CutUploadError{Written: 5, Err: c.writeErr}))
			}
		})
	}
}

// TestEndDuringAWriteIsNotProved guards against the same while the write has taken the error but not returned yet.
func TestEndDuringAWriteIsNotProved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		defer far.Close()
		conn := newJudgedConn(&halfConn{near, strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart")})
		var group conc.WaitGroup
		group.Go(func() { _, _ = conn.Write(make([]byte, 10)) })
		synctest.Wait()
		_, err := io.ReadAll(conn)
		var cut *CutUploadError
		g.Expect(errors.As(err, &cut)).To(BeTrue(), "%v", err)
		_ = near.Close()
		group.Wait()
	})
}

// TestWriteThatReturnsLateLeavesTheEndProved guards against sound answers that are refused as their end is read
// before the write of their request has returned.
func TestWriteThatReturnsLateLeavesTheEndProved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		defer near.Close()
		conn := newJudgedConn(&halfConn{near, strings.NewReader("HTTP/1.1 200 OK\r\n\r\nwhole")})
		var group conc.WaitGroup
		group.Go(func() { _, _ = conn.Write(make([]byte, 10)) })
		group.Go(func() {
			time.Sleep(writeEndWait / 2)
			_, _ = io.ReadFull(far, make([]byte, 10))
		})
		synctest.Wait()
		_, err := io.ReadAll(conn)
		g.Expect(err).NotTo(HaveOccurred())
		group.Wait()
	})
}

// halfConn writes to a connection and reads from memory.
type halfConn struct {
	net.Conn
	io.Reader
}

func (c *halfConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// forward is a proxy's handler.
func forward(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		r.RequestURI = ""
		res, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer res.Body.Close()
		_, _ = io.Copy(w, res.Body)
		return
	}
	far, err := net.Dial("tcp4", r.Host)
	if err != nil {
		panic(err)
	}
	near, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(near, "HTTP/1.1 200 Connection established\r\n\r\n")
	var group conc.WaitGroup
	group.Go(func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	})
	group.Go(func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	})
	group.Wait()
}
