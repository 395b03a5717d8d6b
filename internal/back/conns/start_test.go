package conns

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
)

// reports is the dialect of the scripted servers.
type reports struct{}

func (reports) ReportRequest(address string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+address+"/report", http.NoBody)
}

func (reports) DecodeStart(data []byte) (int64, bool) {
	var r struct{ Start int64 }
	err := json.Unmarshal(data, &r)
	return r.Start, err == nil && r.Start != 0
}

func (reports) NamesRequest(h http.Header) bool { return h.Get("Request-Id") != "" }

// TestStartIsProvedOnTheConnection guards against requests that reach another process than the one that the target
// names, and against questions on connections whose process is known.
func TestStartIsProvedOnTheConnection(t *testing.T) {
	const (
		head     = "HTTP/1.1 200 OK\r\n"
		named    = head + "Content-Length: 11\r\n\r\n{\"Start\":7}"
		closing  = head + "Connection: close\r\nContent-Length: 11\r\n\r\n{\"Start\":7}"
		other    = head + "Content-Length: 11\r\n\r\n{\"Start\":8}"
		busy     = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		notFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	)
	mine := answer("a", "Content-Length: 4\r\n", "mine")
	for _, c := range []struct {
		name string
		// answers are those of each connection, and used is the number of requests before without a proof.
		answers []string
		used    int
		// err is the type of the error, nil for none.
		err          any
		dials, asked int
	}{
		{"announced process", []string{named, mine, mine}, 0, nil, 1, 1},
		{"on a used connection", []string{mine, named, mine, mine}, 1, nil, 1, 1},
		{"another process", []string{other, mine}, 0, &ReplacedError{}, 1, 1},
		{"another process on a used connection", []string{mine, other, mine}, 1, &ReplacedError{}, 1, 1},
		{"process without a start", []string{notFound, mine}, 0, &StartlessError{}, 1, 1},
		{"process that can't report yet", []string{busy, mine}, 0, &UnreadyError{}, 1, 1},
		{"connection that is closed after each report", []string{closing}, 0, errClosing, 3, 3},
		{"used connection that ends before the report", []string{mine}, 1, errors.New(""), 2, 2},
		{"connection that ends before the report", nil, 0, errors.New(""), 1, 1},
		{"late response to another request", []string{answer("z", "Content-Length: 5\r\n", "other") + named, mine, mine}, 0, nil, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &scriptedServer{answers: c.answers}
				p, closePool := New(s.dial, metrics.NewSet())
				p.SetReports(reports{})
				target := Target{InstanceKey: site.InstanceKey{ID: "i", Born: 7}, Address: "i"}
				r := request("a")
				for range c.used {
					res, err := p.Do(t.Context(), target, r)
					g.Expect(err).NotTo(HaveOccurred())
					res.Discard()
				}
				r.ProvesStart = true
				res, err := p.Do(t.Context(), target, r)
				if c.err != nil {
					var f *Failure
					g.Expect(errors.As(err, &f)).To(BeTrue())
					g.Expect(f.Sent).To(BeFalse())
					switch want := c.err.(type) {
					case *ReplacedError:
						g.Expect(errors.As(err, &want)).To(BeTrue())
						g.Expect(*want).To(Equal(ReplacedError{Expected: 7, Start: 8}))
					case *UnreadyError:
						g.Expect(errors.As(err, &want)).To(BeTrue())
					case *StartlessError:
						g.Expect(errors.As(err, &want)).To(BeTrue())
						g.Expect(want.Status).To(Equal(http.StatusNotFound))
						r.ProvesStart = false
						res, err := p.Do(t.Context(), target, r)
						g.Expect(err).NotTo(HaveOccurred(), "the connection can still be used")
						res.Discard()
					}
				} else {
					g.Expect(err).NotTo(HaveOccurred())
					res.Discard()
					res, err = p.Do(t.Context(), target, r)
					g.Expect(err).NotTo(HaveOccurred(), "the process is known")
					res.Discard()
				}
				g.Expect(s.dials).To(Equal(c.dials))
				g.Expect(int(p.proofs.Get())).To(Equal(c.asked))
				closePool()
				g.Expect(p.open.Load()).To(BeZero())
				s.group.Wait()
			})
		})
	}
}
