package conns

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"foxtailcroft/internal/core/site"
)

const (
	// dialTimeout bounds a new connection: one lost opening packet is sent again after a second.
	dialTimeout = 1200 * time.Millisecond
	// defaultIdle is how long a connection is reused if the instance states no timeout.
	defaultIdle = 2 * time.Second
	// idleMargin is kept from a stated idle timeout, for the way to the instance and a slow timer.
	idleMargin = 400 * time.Millisecond
	// maxIdlePerInstance bounds the idle connections to one instance.
	maxIdlePerInstance = 16
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Target is the instance that a request is for, and where it is.
type Target struct {
	site.Key
	Address string
}

// Pool keeps idle connections to instances.
type Pool struct {
	dial   Dial
	now    func() time.Time
	mu     sync.Mutex
	idle   map[Target][]*conn
	closed bool
	dials  *metrics.Counter
	reused *metrics.Counter
}

// New returns a pool and the function that closes its idle connections.
func New(dial Dial, set *metrics.Set) (*Pool, func()) {
	p := &Pool{
		dial: dial, now: time.Now, idle: map[Target][]*conn{},
		dials:  set.GetOrCreateCounter("foxtailcroft_instance_dials_total"),
		reused: set.GetOrCreateCounter("foxtailcroft_instance_reuses_total"),
	}
	return p, p.close
}

// take returns an idle connection that is sure to stand for a while yet, or nil.
func (p *Pool) take(t Target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[t]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.idle[t] = list[:len(list)-1]
		if p.now().Before(c.until) && c.quiet() {
			return c
		}
		c.close()
	}
}

// Connected reports whether an idle connection to a target is at hand.
func (p *Pool) Connected(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	return slices.ContainsFunc(p.idle[t], func(c *conn) bool { return now.Before(c.until) })
}

// open dials a new connection.
func (p *Pool) open(ctx context.Context, t Target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.dials.Inc()
	raw, err := p.dial(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// put keeps a connection for reuse until its idle time ends.
func (p *Pool) put(t Target, c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || idle <= 0 || len(p.idle[t]) >= maxIdlePerInstance {
		c.close()
		return
	}
	c.until = p.now().Add(idle)
	p.idle[t] = append(p.idle[t], c)
}

// Sweep closes connections that have been idle for too long, and those to instances that keep rejects.
func (p *Pool) Sweep(keep func(site.Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for t, list := range p.idle {
		var stay []*conn
		for _, c := range list {
			if keep(t.Key) && now.Before(c.until) {
				stay = append(stay, c)
				continue
			}
			c.close()
		}
		if len(stay) == 0 {
			delete(p.idle, t)
			continue
		}
		p.idle[t] = stay
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(func(site.Key) bool { return false })
}

// idleTime returns how long a connection may be reused after an answer with a Keep-Alive header.
func idleTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
