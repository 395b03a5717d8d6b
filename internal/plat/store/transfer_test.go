package store_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/test/memnet"
)

// TestLargeTransfersOnSlowLinks guards against time limits that take a slow transfer for an outage.
func TestLargeTransfersOnSlowLinks(t *testing.T) {
	const (
		// linkBytes is the bandwidth of a link of 10 Mb/s.
		linkBytes = 1_250_000
		keys      = 40
		valueSize = 100_000
	)
	put := func(prefix string) store.Txn {
		var txn store.Txn
		for i := range keys {
			txn.Puts = append(txn.Puts, store.Put{Key: fmt.Sprintf("%s%02d", prefix, i), Value: make([]byte, valueSize)})
		}
		return txn
	}
	errEnough := errors.New("enough")
	for _, c := range []struct {
		name string
		call func(c *store.Client, s *kvsim.MemoryStore) (keys int, err error)
	}{
		{"a read", func(c *store.Client, _ *kvsim.MemoryStore) (int, error) {
			list, err := c.Range(context.Background(), "a")
			return len(list.KVs), err
		}},
		{"a write", func(c *store.Client, s *kvsim.MemoryStore) (int, error) {
			_, err := c.Commit(context.Background(), put("b"))
			list, _ := s.Range(context.Background(), "b")
			return len(list.KVs), err
		}},
		{"a change in a watch", func(c *store.Client, s *kvsim.MemoryStore) (n int, err error) {
			time.AfterFunc(2*time.Second, func() { _, _ = s.Commit(context.Background(), put("c")) })
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			err = c.Watch(ctx, "c", 2, func(b store.Batch) error {
				n = len(b.Events)
				return errEnough
			})
			if errors.Is(err, errEnough) {
				err = nil
			}
			return n, err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				network, link, platform := memnet.New(), memnet.NewLink(linkBytes), kvsim.NewPlatform(1, 0, nil)
				defer network.Close()
				_, err := platform.Store.Commit(context.Background(), put("a"))
				g.Expect(err).NotTo(HaveOccurred())
				network.Serve("store:1", platform.Handler())
				transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
					conn, err := network.Dial(ctx, address)
					if err != nil {
						return nil, err
					}
					return link.Conn(conn), nil
				}}
				n, err := c.call(store.NewClient("http://store:1", transport, 100, metrics.NewSet()), platform.Store)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(n).To(Equal(keys))
			})
		})
	}
}
