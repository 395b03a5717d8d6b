package tasks

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestFirst(t *testing.T) {
	after := func(d time.Duration, value int, err error) func(context.Context) (int, error) {
		return func(ctx context.Context) (int, error) {
			select {
			case <-time.After(d):
				return value, err
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		}
	}
	failure := errors.New("failure")
	for _, c := range []struct {
		name  string
		calls []func(context.Context) (int, error)
		value int
		err   error
		took  time.Duration
	}{
		{"the fastest success", []func(context.Context) (int, error){after(3*time.Second, 3, nil), after(time.Second, 1, nil)}, 1, nil, time.Second},
		{"a success after a failure", []func(context.Context) (int, error){after(time.Second, 0, failure), after(2*time.Second, 2, nil)}, 2, nil, 2 * time.Second},
		{"failures only", []func(context.Context) (int, error){after(time.Second, 0, failure), after(2*time.Second, 0, failure)}, 0, failure, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				began := time.Now()
				value, err := First(t.Context(), c.calls...)
				g.Expect(value).To(Equal(c.value))
				if c.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(c.err))
				}
				g.Expect(time.Since(began)).To(Equal(c.took))
			})
		})
	}
}
