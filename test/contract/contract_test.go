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
	"foxtailcroft/internal/standin/motor"
	"foxtailcroft/internal/standin/platf"
	"foxtailcroft/internal/standin/shop"
	"foxtailcroft/platform"
	"foxtailcroft/platform/mimic"
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
func stores() map[string]func() (store.Store, *platf.Memory) {
	return map[string]func() (store.Store, *platf.Memory){
		"memory": func() (store.Store, *platf.Memory) {
			m := platf.NewMemory(1)
			return m, m
		},
		"etcd JSON client": func() (store.Store, *platf.Memory) {
			p := platf.NewPlatform(1, 0, nil)
			return store.NewClient(serve(p.Handler()), &http.Transport{}, 1000, metrics.NewSet()), p.Store
		},
		"platform client": func() (store.Store, *platf.Memory) {
			m := platf.NewMemory(1)
			address := strings.TrimPrefix(serve(mimic.NewStore(m)), "http://")
			return platform.NewStore(address, &http.Transport{}, time.Second, metrics.NewSet()), m
		},
	}
}

// lists returns a constructor for each implementation of the instance list.
func lists() map[string]func(*platf.Platform) fleet.List {
	return map[string]func(*platf.Platform) fleet.List{
		"HTTP client": func(p *platf.Platform) fleet.List { return fleet.NewClient(serve(p.Handler()), &http.Transport{}) },
	}
}

// engines returns a constructor for each implementation of the engine interface.
func engines() map[string]func(*motor.Motor) engine.Engine {
	return map[string]func(*motor.Motor) engine.Engine{
		"stand-in in process": func(m *motor.Motor) engine.Engine { return m },
		"HTTP client":         func(m *motor.Motor) engine.Engine { return engine.NewClient(serve(m.Handler()), &http.Transport{}) },
	}
}

// services returns a constructor for each implementation of the plain service interface.
func services() map[string]func(*shop.Shop) plain.Service {
	return map[string]func(*shop.Shop) plain.Service{
		"stand-in in process": func(s *shop.Shop) plain.Service { return s },
		"HTTP client": func(s *shop.Shop) plain.Service {
			c, err := plain.NewClient(serve(s.Handler()), &http.Transport{}, &http.Transport{DisableKeepAlives: true})
			Expect(err).NotTo(HaveOccurred())
			return c
		},
	}
}
