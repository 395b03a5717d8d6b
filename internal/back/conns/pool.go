package conns

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"foxtailcroft/internal/core/site"
)

const (
	// dialTimeout bounds dialing; it allows for one lost SYN, which is retransmitted after a second.
	dialTimeout = 1200 * time.Millisecond
	// defaultReuseTime is how long an idle connection stays reusable if the instance states no timeout.
	defaultReuseTime = 2 * time.Second
	// idleMargin is subtracted from a stated idle timeout, for network latency and a late timer.
	idleMargin = 400 * time.Millisecond
	// maxIdlePerInstance bounds the idle connections to one instance.
	maxIdlePerInstance = 16
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Target is the instance that a request is for, and its address.
type Target struct {
	site.InstanceKey
	Address string
}

// Pool sends requests to instances and reuses idle connections.
type Pool struct {
	dial   Dial
	now    func() time.Time
	mu     sync.Mutex
	idle   map[Target][]*conn
	closed bool
	// lastID is the ID of the newest connection.
	lastID atomic.Uint64
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

// takeIdle removes and returns the newest idle connection that the instance should not close soon, or nil.
func (p *Pool) takeIdle(t Target, avoid []ConnID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if slices.Contains(avoid, c.id) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[t] = list
		if p.now().Before(c.reuseDeadline) && c.isIdle() {
			return c
		}
		c.close()
	}
	return nil
}

// HasIdle reports whether the pool has a reusable idle connection to a target.
func (p *Pool) HasIdle(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	return slices.ContainsFunc(p.idle[t], func(c *conn) bool { return now.Before(c.reuseDeadline) })
}

// dialTarget opens a new connection within dialTimeout.
func (p *Pool) dialTarget(ctx context.Context, t Target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.dials.Inc()
	raw, err := p.dial(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, ConnID(p.lastID.Add(1))), nil
}

// Probe opens a connection to a target and keeps it for reuse; the error is that of dialing.
func (p *Pool) Probe(ctx context.Context, t Target) error {
	c, err := p.dialTarget(ctx, t)
	if err == nil {
		p.putIdle(t, c, defaultReuseTime)
	}
	return err
}

// putIdle keeps a connection for reuse for the idle time, or closes it if the pool is closed or full.
func (p *Pool) putIdle(t Target, c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || idle <= 0 || len(p.idle[t]) >= maxIdlePerInstance {
		c.close()
		return
	}
	c.reuseDeadline = p.now().Add(idle)
	p.idle[t] = append(p.idle[t], c)
}

// Sweep closes connections past their reuse time, and those to instances for which keep is false.
func (p *Pool) Sweep(keep func(site.InstanceKey) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for t, list := range p.idle {
		var stay []*conn
		for _, c := range list {
			if keep(t.InstanceKey) && now.Before(c.reuseDeadline) {
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
	p.Sweep(func(site.InstanceKey) bool { return false })
}

// reuseTime returns how long a connection may be reused after a response with this Keep-Alive header.
func reuseTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultReuseTime
}
