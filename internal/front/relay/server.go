package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/retry"
)

// Dialect reads and writes the headers of requests and answers.
type Dialect interface {
	Request(h http.Header) site.Request
	// ForAll reports whether a header is meant for all recipients, not for one connection.
	ForAll(name string) bool
	Outgoing(h http.Header, instance string, left time.Duration, priority int, lastEvent string)
	Answers(h http.Header, id string) bool
	Signed(h http.Header) bool
	NotRun(status int, h http.Header) bool
	Load(h http.Header) (site.Load, bool)
	Refuse(h http.Header, id string, after time.Duration)
}

// Finder asks the planner for instances that can serve a model.
type Finder interface {
	Want(ctx context.Context, w peers.Want) (peers.Found, error)
}

// Sites shows the newest state.
type Sites interface {
	State() *follow.State
}

// Server serves callers.
type Server struct {
	set     conf.Front
	sites   Sites
	pool    *conns.Pool
	dialect Dialect
	finder  Finder
	track   *tracker
	log     *zap.SugaredLogger
	meters  *metrics.Set
	// stopsAt is when the process ends; nil while it goes on.
	stopsAt atomic.Pointer[time.Time]
	mu      sync.Mutex
	budgets map[string]retry.Share
}

// New returns a server of callers' requests.
func New(set conf.Front, sites Sites, pool *conns.Pool, d Dialect, finder Finder, meters *metrics.Set, log *zap.SugaredLogger) *Server {
	return &Server{
		set: set, sites: sites, pool: pool, dialect: d, finder: finder, track: newTracker(),
		log: log, meters: meters, budgets: map[string]retry.Share{},
	}
}

// StopAt sets when the process ends; requests that would wait longer are refused before.
func (s *Server) StopAt(t time.Time) {
	s.stopsAt.Store(&t)
}

// Uses returns what was used of models since the last call, or all that still counts for a planner that is new.
func (s *Server) Uses(all bool) peers.Uses {
	state := s.sites.State()
	return s.track.uses(s.set.Node.Name, all, func(k site.Key) bool {
		in, ok := state.Instances[k.ID]
		return ok && in.Key == k
	})
}

// SetLoads takes over the load of instances as the planner knows it.
func (s *Server) SetLoads(loads []peers.Load) {
	for _, l := range loads {
		s.track.reported(l.Instance, l.Requests, time.Now().Add(-l.Age))
		if l.Pause > 0 {
			s.track.pausedElsewhere(l.Instance, l.Pause)
		}
	}
}

// firstRetry is when callers come back to a front that knows no configuration yet.
const firstRetry = 500 * time.Millisecond

// ServeHTTP takes one request to its end.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{server: s, w: w, r: r, arrived: time.Now(), state: s.sites.State(), ask: s.dialect.Request(r.Header), tried: map[site.Key]bool{}}
	defer c.logEnd()
	doc := c.state.Document
	if doc == nil {
		c.refuse(http.StatusServiceUnavailable, "no configuration yet", firstRetry)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	c.route = doc.Route(host, path)
	if c.route == nil {
		c.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	c.service = c.route.Pick(xxhash.Sum64String(c.ask.ID))
	c.end = c.arrived.Add(c.limit())
	if !c.readBody(doc.Limits.BodyBytes) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.end)
	defer cancel()
	s.earn(c.service)
	c.run(ctx)
}

// limit returns how long the request may take.
func (c *call) limit() time.Duration {
	limit := c.route.Timeout
	if c.ask.Patience > 0 && (limit <= 0 || c.ask.Patience < limit) {
		limit = c.ask.Patience
	}
	if limit <= 0 {
		limit = defaultLimit
	}
	return limit
}

// defaultLimit bounds requests whose route and caller name no time.
const defaultLimit = 60 * time.Second

// readBody reads the whole body; false if it did not come in time or is too long.
func (c *call) readBody(most int64) bool {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return true
	}
	c.readUntil(c.end)
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, max(most, 1)))
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, "body not complete in time", soonRetry)
		return false
	case errors.As(err, &large):
		c.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	case err != nil:
		c.outcome, c.reason = "caller left", "body not read: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	c.readUntil(time.Time{})
	c.body = data
	return true
}

// readUntil bounds the reading of the body; a zero time lifts the bound.
func (c *call) readUntil(t time.Time) {
	if err := http.NewResponseController(c.w).SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.server.log.Warnw("reading not bounded", "Request", c.ask.ID, "Error", err.Error())
	}
}

// earn counts a first send towards a service.
func (s *Server) earn(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets[service] = s.budget(service).Earned()
}

// spend takes a second send from a service's budget; false if none is left.
func (s *Server) spend(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budget(service).Spent()
	s.budgets[service] = b
	return ok
}

// budgetParts is into how many parts the slack is divided beside the known fronts, for fronts that start or are not known.
const budgetParts = 2

func (s *Server) budget(service string) retry.Share {
	b, ok := s.budgets[service]
	if !ok {
		b = retry.NewShare(s.set.Retry.Ratio, s.set.Retry.Slack, budgetParts*max(1, len(s.sites.State().Fronts)))
	}
	return b
}
