// Package contract holds one suite for each interface towards an outside system; every implementation runs it.
package contract

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

func TestContracts(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 20261204
	RunSpecs(t, "contracts", suite, reporter)
}

// serve runs a stand-in's handler for one test.
func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.URL
}

// stores returns each implementation of the store with the memory behind it.
func stores() map[string]func() (store.Store, *kvsim.MemoryStore) {
	return map[string]func() (store.Store, *kvsim.MemoryStore){
		"memory": func() (store.Store, *kvsim.MemoryStore) {
			m := kvsim.NewMemoryStore(1)
			return m, m
		},
		"etcd JSON client": func() (store.Store, *kvsim.MemoryStore) {
			p := kvsim.NewPlatform(1, 0, nil)
			return store.NewClient(serve(p.Handler()), &http.Transport{}, 1000, metrics.NewSet()), p.Store
		},
		"platform client": func() (store.Store, *kvsim.MemoryStore) {
			m := kvsim.NewMemoryStore(1)
			address := strings.TrimPrefix(serve(fake.NewStore(m)), "http://")
			return platform.NewStore(address, &http.Transport{}, time.Second, metrics.NewSet()), m
		},
	}
}

func lists() map[string]func(*kvsim.Platform) fleet.List {
	return map[string]func(*kvsim.Platform) fleet.List{
		"HTTP client": func(p *kvsim.Platform) fleet.List { return fleet.NewClient(serve(p.Handler()), &http.Transport{}) },
	}
}

func engines() map[string]func(*engsim.Engine) engine.Engine {
	return map[string]func(*engsim.Engine) engine.Engine{
		"stand-in in process": func(m *engsim.Engine) engine.Engine { return m },
		"HTTP client":         func(m *engsim.Engine) engine.Engine { return engine.NewClient(serve(m.Handler()), &http.Transport{}) },
	}
}

func services() map[string]func(*svcsim.Endpoint) plain.Service {
	return map[string]func(*svcsim.Endpoint) plain.Service{
		"stand-in in process": func(s *svcsim.Endpoint) plain.Service { return s },
		"HTTP client": func(s *svcsim.Endpoint) plain.Service {
			c, err := plain.NewClient(serve(s.Handler()), &http.Transport{}, &http.Transport{DisableKeepAlives: true})
			Expect(err).NotTo(HaveOccurred())
			return c
		},
	}
}
