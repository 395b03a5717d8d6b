package conns

import (
	"container/list"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	dial Dial
	now  func() time.Time
	mu   sync.Mutex
	idle map[Target][]*conn
	// byAge are all idle connections, those that have been idle for the longest first; the elements are *conn.
	byAge  list.List
	closed bool
	// limit is the most open connections, 0 if they are not bounded, and open how many there are.
	limit int
	open  atomic.Int64
	// lastID is the ID of the newest connection.
	lastID atomic.Uint64
	dials  *metrics.Counter
	reused *metrics.Counter
	short  *metrics.Counter
	// malformed counts the exchanges that ended with a *heads.GrammarError in a head.
	malformed *metrics.Counter
	// reports asks for the starts of processes; proofs counts the questions, and replaced those that another process
	// than the expected one answered.
	reports  Reports
	proofs   *metrics.Counter
	replaced *metrics.Counter
}

// New returns a pool and the function that closes its idle connections.
func New(dial Dial, set *metrics.Set) (*Pool, func()) {
	p := &Pool{
		dial: dial, now: time.Now, idle: map[Target][]*conn{},
		dials:     set.GetOrCreateCounter("foxtailcroft_instance_dials_total"),
		reused:    set.GetOrCreateCounter("foxtailcroft_instance_reuses_total"),
		short:     set.GetOrCreateCounter("foxtailcroft_instance_connections_short_total"),
		malformed: set.GetOrCreateCounter("foxtailcroft_instance_malformed_answers_total"),
		proofs:    set.GetOrCreateCounter("foxtailcroft_instance_starts_asked_total"),
		replaced:  set.GetOrCreateCounter("foxtailcroft_instance_starts_replaced_total"),
	}
	return p, p.close
}

// takeIdle removes and returns the newest idle connection that the instance should not close soon, or nil.
func (p *Pool) takeIdle(t Target, avoid []ConnID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[t]
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		if slices.Contains(avoid, c.id) {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		p.idle[t] = idle
		p.byAge.Remove(c.place)
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

// SetLimit bounds the open connections to all instances; call it before the pool is used. Idle
// connections are closed for new ones, those that have been idle for the longest first.
func (p *Pool) SetLimit(connections int) {
	p.limit = connections
}

// errAtLimit reports that the pool has as many connections in use as it may.
var errAtLimit = errors.New("no descriptor for another connection to an instance")

// IsOwnShortage reports whether a connection failed because this process or machine has no more
// descriptors, which tells nothing of the instance. Nothing was sent then.
func IsOwnShortage(err error) bool {
	return errors.Is(err, errAtLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// dialTarget opens a new connection within dialTimeout; if there is no descriptor for it, in place of
// the connection that has been idle for the longest.
func (p *Pool) dialTarget(ctx context.Context, t Target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		c, err := p.dialOnce(ctx, t)
		if err == nil || !IsOwnShortage(err) {
			return c, err
		}
		if !p.closeLongestIdle() {
			p.short.Inc()
			return nil, err
		}
	}
}

// dialOnce opens a new connection if the limit allows one more.
func (p *Pool) dialOnce(ctx context.Context, t Target) (*conn, error) {
	if !p.reserve() {
		return nil, errAtLimit
	}
	p.dials.Inc()
	raw, err := p.dial(ctx, t.Address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	c := newConn(raw, ConnID(p.lastID.Add(1)))
	c.open = &p.open
	return c, nil
}

// reserve counts one more open connection, if the limit allows it.
func (p *Pool) reserve() bool {
	for {
		open := p.open.Load()
		if p.limit > 0 && open >= int64(p.limit) {
			return false
		}
		if p.open.CompareAndSwap(open, open+1) {
			return true
		}
	}
}

// closeLongestIdle closes the connection that has been idle for the longest; false if none is idle.
func (p *Pool) closeLongestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAge.Len() == 0 {
		return false
	}
	c, ok := p.byAge.Remove(p.byAge.Front()).(*conn)
	if !ok {
		return false
	}
	p.idle[c.target] = slices.DeleteFunc(p.idle[c.target], func(o *conn) bool { return o == c })
	c.close()
	return true
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
	c.reuseDeadline, c.target = p.now().Add(idle), t
	c.place = p.byAge.PushBack(c)
	p.idle[t] = append(p.idle[t], c)
}

// Sweep closes connections past their reuse time, and those to instances for which keep is false.
func (p *Pool) Sweep(keep func(site.InstanceKey) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for t, idle := range p.idle {
		var stay []*conn
		for _, c := range idle {
			if keep(t.InstanceKey) && now.Before(c.reuseDeadline) {
				stay = append(stay, c)
				continue
			}
			p.byAge.Remove(c.place)
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
