// Package contract holds one conformance suite for each interface to an
// external system (store, instance list, engine, plain service). Every
// implementation, stand-ins included, has to pass it.
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

// serve starts an HTTP server with the handler for the current spec and returns its URL.
func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.URL
}

// stores returns a constructor for each implementation of the store. Each
// constructor also returns the in-memory store that holds the data.
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

// lists returns a constructor for each implementation of the instance list.
func lists() map[string]func(*kvsim.Platform) fleet.List {
	return map[string]func(*kvsim.Platform) fleet.List{
		"HTTP client": func(p *kvsim.Platform) fleet.List { return fleet.NewClient(serve(p.Handler()), &http.Transport{}) },
	}
}

// engines returns a constructor for each implementation of the engine interface.
func engines() map[string]func(*engsim.Engine) engine.Engine {
	return map[string]func(*engsim.Engine) engine.Engine{
		"stand-in in process": func(m *engsim.Engine) engine.Engine { return m },
		"HTTP client":         func(m *engsim.Engine) engine.Engine { return engine.NewClient(serve(m.Handler()), &http.Transport{}) },
	}
}

// services returns a constructor for each implementation of the plain service interface.
func services() map[string]func(*svcsim.Endpoint) plain.Service {
	return map[string]func(*svcsim.Endpoint) plain.Service{
		"stand-in in process": func(s *svcsim.Endpoint) plain.Service { return s },
		"HTTP client": func(s *svcsim.Endpoint) plain.Service {
			c, err := plain.NewClient(serve(s.Handler()), &http.Transport{})
			Expect(err).NotTo(HaveOccurred())
			return c
		},
	}
}
