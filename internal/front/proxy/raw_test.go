package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/test/seeds"
)

func TestMain(m *testing.M) { seeds.RunTests(m, 150) }

// rawRequest is a request as bytes, with the only id and body length with which a server may run it.
type rawRequest struct {
	bytes     string
	id        string
	bodyBytes int64
}

// drawRawRequest draws a request that is well formed, or malformed in a way known
// from request smuggling: two lengths of which one exceeds the body, a length and
// chunks, an unknown transfer coding, white space in a header name, a second
// request in the body, a Connection header that names the request id.
func drawRawRequest(rt *rapid.T, n int) rawRequest {
	r := rawRequest{id: fmt.Sprintf("id-%d", n)}
	smuggled := fmt.Sprintf("POST /unsafe/in HTTP/1.1\r\nHost: h.example\r\nRequest-Id: smuggled-%d\r\nContent-Length: 0\r\n\r\n", n)
	body := rapid.SampledFrom([]string{"", "x", "order", smuggled, strings.Repeat("y", 600)}).Draw(rt, "body")
	r.bodyBytes = int64(len(body))
	head := fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 900\r\n", r.id)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	if body == "" {
		chunked = "0\r\n\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch rapid.IntRange(0, 9).Draw(rt, "form") {
	case 0, 1, 2:
		r.bytes = head + length + "\r\n" + body
	case 3, 4:
		r.bytes = head + "Transfer-Encoding: chunked\r\n\r\n" + chunked
	case 5:
		r.bytes = head + length + "Transfer-Encoding: chunked\r\n\r\n" + chunked
	case 6:
		r.bytes = head + length + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+3) + body
	case 7:
		r.bytes = head + "Transfer-Encoding: xchunked\r\n" + length + "\r\n" + body
	case 8:
		r.bytes = head + "Content-Length : 4\r\n" + length + "\r\n" + body
	default:
		r.bytes = head + "Connection: Request-Id, close\r\n" + length + "\r\n" + body
	}
	return r
}

// TestRawRequestsAreNotSmuggled sends drawn bytes over a caller's connection:
// servers run no request that the caller did not send, none twice, and none with a different body.
func TestRawRequestsAreNotSmuggled(t *testing.T) {
	t.Logf("FOXTAILCROFT_SEED=%d", seeds.FromEnvironment())
	rapid.Check(t, func(rt *rapid.T) {
		var sent []rawRequest
		for n := range rapid.IntRange(1, 5).Draw(rt, "requests") {
			sent = append(sent, drawRawRequest(rt, n))
		}
		withProxy(t, 2, func(r *harness) {
			r.net.Serve("front:1", r.proxy)
			conn, err := r.net.Dial(r.t.Context(), "front:1")
			r.g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			r.sendRaw(conn, sent)
			time.Sleep(5 * time.Second)
			runs := r.executions.Executions()
			seen := map[string]bool{}
			for _, run := range runs {
				r.g.Expect(seen[run.ID]).To(BeFalse(), "%s ran twice", run.ID)
				seen[run.ID] = true
				var source *rawRequest
				for i := range sent {
					if sent[i].id == run.ID {
						source = &sent[i]
					}
				}
				r.g.Expect(source).NotTo(BeNil(), "%s ran but was not sent", run.ID)
				r.g.Expect(run.BodyBytes).To(Equal(source.bodyBytes), "body length of %q", source.bytes)
			}
		})
	})
}

// sendRaw writes pipelined requests and reads the answers.
func (r *harness) sendRaw(conn net.Conn, list []rawRequest) {
	var all bytes.Buffer
	for _, x := range list {
		all.WriteString(x.bytes)
	}
	r.group.Go(func() {
		// The front may close the connection after a malformed request.
		_, _ = conn.Write(all.Bytes())
	})
	in := bufio.NewReader(conn)
	for range list {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}

// TestIncompleteBodyIsAnsweredInTime sends half a body and expects a refusal at the deadline.
func TestIncompleteBodyIsAnsweredInTime(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.net.Serve("front:1", r.proxy)
		conn, err := r.net.Dial(r.t.Context(), "front:1")
		r.g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		began := time.Now()
		_, err = io.WriteString(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline-Milliseconds: 900\r\nContent-Length: 10\r\n\r\nhalf")
		r.g.Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
		r.g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		r.g.Expect(r.executions.Executions()).To(BeEmpty())
	})
}

// FuzzReadEvent reads events from arbitrary bytes: the output equals the input, and an event ends with a line feed.
func FuzzReadEvent(f *testing.F) {
	for _, s := range []string{completeStream, "id: 1\r\ndata: x\r\n\r\n", "\n\n\n", "id:\n\n", "data: " + strings.Repeat("x", 9000) + "\n\nid: 2", "weight-versions: 3\nid: 4\ndata: y\n\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		in := bufio.NewReaderSize(bytes.NewReader(data), 64)
		var out []byte
		for {
			event, _, err := readEvent(in)
			out = append(out, event...)
			if err != nil {
				break
			}
			g.Expect(bytes.HasSuffix(event, []byte("\n"))).To(BeTrue())
		}
		if len(data) < maxEventBytes {
			g.Expect(out).To(Equal(data))
		}
	})
}
