//go:build soak

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"foxtailcroft/internal/standin/kvsim"
)

const (
	// probeInterval is the pause between two requests that show the version in force at a front.
	probeInterval = 50 * time.Millisecond
	// inForce is the time within which a version is in force, as in the fronts' settings.
	inForce = 2 * time.Second
	// contact is the time without faults after which bounds hold, as in the fronts' settings.
	contact = 3 * time.Second
	// lostWrites is the number of writes that the store loses without other faults.
	lostWrites = 100
	// storeReturns is the name of the fault.
	storeReturns = "store returns from a copy"
)

// returnStore lets the store go away for all, and return from a copy.
func (d *deployment) returnStore(taken kvsim.Copy, away time.Duration, leases kvsim.Leases) {
	d.storeAway.Lock()
	defer d.storeAway.Unlock()
	d.memory.SetFaults(kvsim.Faults{Away: true})
	time.Sleep(away)
	d.memory.ReturnFrom(taken, leases)
	d.memory.SetFaults(kvsim.Faults{})
}

// restoreStore writes the newest document again, and removes the announcements of servers that have
// stopped, as no one renews them. Servers that run write theirs again themselves.
func (d *deployment) restoreStore() {
	d.documentMu.Lock()
	d.writeStore("op/config", d.document)
	d.documentMu.Unlock()
	time.Sleep(3 * announceInterval)
	d.mu.Lock()
	servers := slices.Clone(d.servers)
	d.mu.Unlock()
	for _, s := range servers {
		isSame := func(other *standinServer) bool { return other.id == s.id }
		if !slices.ContainsFunc(d.liveServers(), isSame) {
			d.writeStore(s.server.Key(), nil)
		}
	}
}

// returnInCalm lets the store return from a copy without other faults, and waits until bounds hold.
func (d *deployment) returnInCalm() {
	taken := d.memory.Copy()
	for range lostWrites {
		d.writeStore("op/other", []byte("x"))
	}
	d.writeDocument()
	time.Sleep(inForce)
	d.returnStore(taken, 500*time.Millisecond, kvsim.LeasesGone)
	back := time.Now()
	d.restoreStore()
	time.Sleep(time.Until(back.Add(contact)))
}

// probe asks a front for the route that only one version has, and returns the status, 0 if there is none.
func (c *loadGenerator) probe(ctx context.Context, f *frontProcess, version int64) int {
	ctx, cancel := context.WithTimeout(ctx, inForce)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v%d/x", f.callers, version), http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", fmt.Sprintf("%s-%d", c.idPrefix, c.requestCount.Add(1)))
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(inForce.Milliseconds()))
	res, err := c.http.Do(req)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// followVersions asks a front for routes of its newest version and of versions around it until the context
// ends: a process that has served a version serves no older one.
func (c *loadGenerator) followVersions(ctx context.Context, f *frontProcess, rnd *rand.Rand) {
	var starts, newest int64
	for ; ctx.Err() == nil; time.Sleep(probeInterval) {
		if now := f.starts.Load(); now != starts {
			starts, newest = now, 0
		}
		last := c.d.acknowledged.Load()
		version := max(1, last-int64(rnd.IntN(4)))
		status := c.probe(ctx, f, version)
		if status != http.StatusOK || f.starts.Load() != starts {
			continue
		}
		if version < newest {
			c.violation("%s went back from document %d to %d", f.name, newest, version)
		}
		newest = max(newest, version)
	}
}

// expectNewest writes a document without faults, which must be in force at all fronts in time.
func (c *loadGenerator) expectNewest() {
	c.d.writeDocument()
	time.Sleep(inForce)
	last := c.d.acknowledged.Load()
	for _, f := range c.d.fronts {
		if status := c.probe(c.d.ctx, f, last); status == http.StatusNotFound {
			c.violation("%s: document %d not in force %s after it was acknowledged", f.name, last, inForce)
		}
		if status := c.probe(c.d.ctx, f, last-1); status == http.StatusOK {
			c.violation("%s: route of document %d served %s after the next one was acknowledged", f.name, last-1, inForce)
		}
	}
}
