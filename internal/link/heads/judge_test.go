package heads

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/oddity"
)

// judge judges a text in pieces of a size.
func judge(method, text string, size int) (j *Judge, used int, err error) {
	j = &Judge{}
	j.Expect(method)
	for used < len(text) && err == nil {
		var n int
		n, err = j.Judge([]byte(text[used:min(len(text), used+size)]))
		used += n
	}
	return j, used, err
}

// TestAnswersAreJudgedInAnyPieces guards against verdicts that depend on how an answer is cut into packets.
func TestAnswersAreJudgedInAnyPieces(t *testing.T) {
	for _, a := range oddity.Answers() {
		t.Run(a.Name, func(t *testing.T) {
			g := NewWithT(t)
			text := a.With("A: b\r\n", "the body")
			_, most, _ := judge(http.MethodGet, text, len(text))
			for _, size := range []int{1, 2, 3, 7, len(text)} {
				j, used, err := judge(http.MethodGet, text, size)
				var broken *GrammarError
				g.Expect(errors.As(err, &broken)).To(Equal(err != nil))
				g.Expect(err == nil && (j.IsBetween() || j.EndsWithConnection())).To(Equal(a.IsSound), "%v", err)
				g.Expect(used).To(BeNumerically(">=", most))
				g.Expect(used == len(text)).To(Equal(err == nil))
			}
		})
	}
}

func TestBodiesFollowMethodAndStatus(t *testing.T) {
	const length, chunked = "Content-Length: 4\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		method, text string
		// isWhole expects that the head is the whole answer, isBroken that it breaks the grammar.
		isWhole, isBroken bool
	}{
		{http.MethodHead, "HTTP/1.1 200 OK\r\n" + length, true, false},
		{http.MethodHead, "HTTP/1.1 200 OK\r\n" + chunked, true, false},
		{http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", true, false},
		{http.MethodGet, "HTTP/1.1 200 OK\r\n" + length, false, false},
		{http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", false, false},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, false},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", true, false},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", true, false},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n" + length, false, true},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n" + chunked, false, true},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + length, true, false},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + length + "more", false, true},
		{http.MethodGet, "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", true, false},
		{http.MethodGet, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", MaxHeadBytes), false, true},
		{http.MethodGet, "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", MaxHeadBytes), false, true},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", MaxHeadBytes), false, true},
	} {
		t.Run(c.method+" "+c.text[:min(len(c.text), 60)], func(t *testing.T) {
			g := NewWithT(t)
			j, _, err := judge(c.method, c.text, 1000)
			if strings.HasSuffix(c.text, "more") {
				g.Expect(j.IsBetween()).To(BeFalse())
				return
			}
			g.Expect(err != nil).To(Equal(c.isBroken), "%v", err)
			g.Expect(j.IsBetween()).To(Equal(c.isWhole))
		})
	}
}

// FuzzJudge checks that an answer that is accepted ends where net/http's reader sees its end, and that the
// verdict doesn't depend on the pieces.
func FuzzJudge(f *testing.F) {
	for _, a := range oddity.Answers() {
		f.Add(a.With("A: b\r\n", "the body"), 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		_, used, err := judge(http.MethodGet, text, max(1, len(text)))
		_, usedInPieces, errInPieces := judge(http.MethodGet, text, max(1, size%64))
		if (err == nil) != (errInPieces == nil) || used > usedInPieces {
			t.Fatalf("%d bytes, %v; in pieces: %d bytes, %v", used, err, usedInPieces, errInPieces)
		}
		source := strings.NewReader(text)
		in := bufio.NewReader(source)
		for {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				return
			}
			end := len(text) - source.Len() - in.Buffered()
			j, _, err := judge(http.MethodGet, text[:end], max(1, end))
			if err != nil {
				return
			}
			if !j.IsBetween() && !j.EndsWithConnection() {
				t.Fatalf("no end after %q", text[:end])
			}
			if res.Close {
				return
			}
		}
	})
}

// BenchmarkHead judges the head and the body of a usual answer.
func BenchmarkHead(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 3,0,8\r\nContent-Type: application/json\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("x", 400))
	var j Judge
	b.ReportAllocs()
	for b.Loop() {
		if _, err := j.Judge(text); err != nil {
			b.Fatal(err)
		}
	}
}
