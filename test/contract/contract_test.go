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

// serve runs a stand-in's handler for one test.
func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.URL
}

// stores returns each implementation of the store with the memory behind it.
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

func lists() map[string]func(*platf.Platform) fleet.List {
	return map[string]func(*platf.Platform) fleet.List{
		"HTTP client": func(p *platf.Platform) fleet.List { return fleet.NewClient(serve(p.Handler()), &http.Transport{}) },
	}
}

func engines() map[string]func(*motor.Motor) engine.Engine {
	return map[string]func(*motor.Motor) engine.Engine{
		"stand-in in process": func(m *motor.Motor) engine.Engine { return m },
		"HTTP client":         func(m *motor.Motor) engine.Engine { return engine.NewClient(serve(m.Handler()), &http.Transport{}) },
	}
}

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
