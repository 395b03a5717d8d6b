package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/policy/pace"
	"foxtailcroft/platform"
)

// TestFrontsTogetherKeepToQuotas guards against fronts that each give out an account's whole quota,
// and against requests within it that are rejected, also after the account's issuer was lost.
func TestFrontsTogetherKeepToQuotas(t *testing.T) {
	withHarness(t, func(r *harness) {
		account := "acct"
		for pace.Issuer(account, []string{"front-0", "front-1", "front-2", "front-3"}) != "front-3" {
			account += "x"
		}
		r.writeKey(platform.DocumentKey, `{"version":1,"routes":[{"name":"p","host":"h.example","pathPrefix":"/","kind":"unsafe","timeoutMs":5000,"service":"desk","attempts":1}],
"services":[{"name":"desk"}],"tenants":[{"name":"`+account+`","keys":["k"],"ratePerS":20,"burst":20}],"limits":{"bodyBytes":1000,"idleTimeoutMs":3000}}`)
		r.startServer("i-1", "desk")
		var stop []func()
		for i := range 4 {
			_, end := r.start(fmt.Sprintf("front-%d", i), "front-0:3", "front-1:3")
			stop = append(stop, end)
		}
		defer func() {
			for _, end := range stop {
				end()
			}
		}()
		time.Sleep(5 * time.Second)
		sent := 0
		// send sends requests to fronts in turn and returns how many were answered and rejected.
		send := func(n int, interval time.Duration, fronts int) (answered, rejected int) {
			for range n {
				time.Sleep(interval)
				sent++
				req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, fmt.Sprintf("http://front-%d:1/x", sent%fronts), strings.NewReader("x"))
				r.g.Expect(err).NotTo(HaveOccurred())
				req.Host = "h.example"
				req.Header = http.Header{"Request-Id": {fmt.Sprint("id-", sent)}, "Authorization": {"Token k"}}
				res, err := r.client.Do(req)
				r.g.Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, res.Body)
				r.g.Expect(err).NotTo(HaveOccurred())
				_ = res.Body.Close()
				switch res.StatusCode {
				case http.StatusOK:
					answered++
				case http.StatusTooManyRequests:
					rejected++
					r.g.Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
				}
			}
			return answered, rejected
		}
		answered, _ := send(50, 90*time.Millisecond, 4)
		r.g.Expect(answered).To(Equal(50), "usual demand")
		began := time.Now()
		answered, rejected := send(400, 10*time.Millisecond, 4)
		allowed := 20*time.Since(began).Seconds() + 20
		r.g.Expect(float64(answered)).To(BeNumerically("<=", allowed*1.1), "in excess")
		r.g.Expect(float64(answered)).To(BeNumerically(">=", allowed*0.8), "in excess")
		r.g.Expect(answered + rejected).To(Equal(400))
		stop[3]()
		stop = stop[:3]
		time.Sleep(6 * time.Second)
		answered, _ = send(50, 90*time.Millisecond, 3)
		r.g.Expect(answered).To(Equal(50), "after the issuer has left")
	})
}
