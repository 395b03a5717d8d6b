package tasks

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Group runs goroutines until it is closed; the zero value is ready to use.
type Group struct {
	mu     sync.Mutex
	closed bool
	group  conc.WaitGroup
}

// Go starts fn in a goroutine; it reports false, without starting it, if the group is closed.
func (g *Group) Go(fn func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.group.Go(fn)
	}
	return !g.closed
}

// Close prevents new goroutines from starting and waits for the running ones.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.group.Wait()
}
