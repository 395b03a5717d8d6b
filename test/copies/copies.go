package copies

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// Handler returns a handler that keeps its connections. When another request arrives on one, it
// sends the last response there once more before the one that answer returns.
func Handler(answer func(r *http.Request, body []byte) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(buffered)
		var out bytes.Buffer
		for {
			last := answer(r, body)
			out.WriteString(last)
			if _, err := conn.Write(out.Bytes()); err != nil {
				return
			}
			out.Reset()
			out.WriteString(last)
			if r, err = http.ReadRequest(reader); err != nil {
				return
			}
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
	})
}
