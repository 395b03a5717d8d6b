package ident

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
)

const (
	// askInterval is the least time between two inquiries at the address of one instance.
	askInterval = time.Second
	// askTimeout bounds an inquiry.
	askTimeout = 800 * time.Millisecond
	// maxReplyBytes bounds the bytes that are read of a reply.
	maxReplyBytes = 1 << 20
)

// Dialect encodes inquiries and decodes the replies.
type Dialect interface {
	// IdentityRequest returns a request whose response names the instance that answers at an
	// address; expected is the one that is known there.
	IdentityRequest(address, healthPath, expected string) (*http.Request, error)
	// ReportRequest returns the request for a server's report.
	ReportRequest(address string) (*http.Request, error)
	// DecodeInstance decodes the instance that a response names as its sender; empty if it names none.
	DecodeInstance(h http.Header) string
	Report(data []byte) (site.ServerReport, error)
	// IsReport reports whether a response's body is a report.
	IsReport(data []byte) bool
}

// View is the front's view of the site.
type View interface {
	State() *follow.State
	// Unavailable reports whether the store is unavailable or recovered less than span ago.
	Unavailable(span time.Duration) bool
	// AddSuccessor replaces an instance of the view.
	AddSuccessor(x follow.Successor)
}

// Finder asks at the addresses of instances that may have been replaced.
type Finder struct {
	view    View
	pool    *conns.Pool
	dialect Dialect
	log     *zap.SugaredLogger
	group   *tasks.Group
	ctx     context.Context
	mu      sync.Mutex
	// askedAt is when the newest inquiry about an instance began.
	askedAt map[site.InstanceKey]time.Time
}

// New returns a finder, and a function that ends its inquiries.
func New(v View, pool *conns.Pool, d Dialect, log *zap.SugaredLogger) (*Finder, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Finder{view: v, pool: pool, dialect: d, log: log, group: &tasks.Group{}, ctx: ctx, askedAt: map[site.InstanceKey]time.Time{}}
	return f, func() {
		cancel()
		f.group.Close()
	}
}

// Suspect starts an inquiry about an instance in whose place another one has answered. While the
// store answers it does nothing, as the store tells soon.
func (f *Finder) Suspect(in site.Instance) {
	if !f.view.Unavailable(0) || !f.isDue(in.InstanceKey) {
		return
	}
	f.group.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, askTimeout)
		defer cancel()
		successor, err := f.identify(ctx, in)
		if err != nil {
			f.log.Infow("instance at a known address not identified", "Instance", in.ID, "Born", in.Born, "Address", in.Address, "Error", err.Error())
			return
		}
		if successor != in.InstanceKey {
			f.view.AddSuccessor(follow.Successor{Old: in.InstanceKey, New: successor})
		}
	})
}

// isDue reports whether an inquiry about an instance may begin, and notes that it does.
func (f *Finder) isDue(k site.InstanceKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.askedAt[k]) < askInterval {
		return false
	}
	for other, at := range f.askedAt {
		if now.Sub(at) >= askInterval {
			delete(f.askedAt, other)
		}
	}
	f.askedAt[k] = now
	return true
}

// errUnknownService reports an instance whose service can't be told.
var errUnknownService = errors.New("its report doesn't tell its service")

// identify returns the incarnation at an instance's address, provided that it belongs to the same service.
func (f *Finder) identify(ctx context.Context, in site.Instance) (site.InstanceKey, error) {
	id, err := f.askIdentity(ctx, in)
	if err != nil {
		return site.InstanceKey{}, err
	}
	report, err := f.askReport(ctx, in, true)
	switch {
	case err != nil:
		return site.InstanceKey{}, err
	case !isOfService(f.view.State().Document, in.Service, report):
		return site.InstanceKey{}, errUnknownService
	case id == in.ID && report.Born == 0:
		return in.InstanceKey, nil
	}
	return site.InstanceKey{ID: id, Born: report.Born}, nil
}

// errUnnamed reports a response that names no instance.
var errUnnamed = errors.New("the response names no instance")

// askIdentity returns the ID of the instance at an address. Where the service has no health page that names it, it is
// taken for the known one, as requests that expect another one don't run.
func (f *Finder) askIdentity(ctx context.Context, in site.Instance) (string, error) {
	doc := f.view.State().Document
	if doc == nil || doc.Services[in.Service] == nil {
		return "", errUnnamed
	}
	if doc.Services[in.Service].HealthPath == "" {
		return in.ID, nil
	}
	req, err := f.dialect.IdentityRequest(in.Address, doc.Services[in.Service].HealthPath, in.ID)
	if err != nil {
		return "", err
	}
	res, _, err := f.send(ctx, in, req, true)
	if err != nil {
		return "", err
	}
	id := f.dialect.DecodeInstance(res.Header)
	if id == "" {
		return "", errUnnamed
	}
	return id, nil
}

// askReport returns the report of the instance at an address.
func (f *Finder) askReport(ctx context.Context, in site.Instance, newConnection bool) (site.ServerReport, error) {
	req, err := f.dialect.ReportRequest(in.Address)
	if err != nil {
		return site.ServerReport{}, err
	}
	res, body, err := f.send(ctx, in, req, newConnection)
	if err != nil {
		return site.ServerReport{}, err
	}
	if res.Status != http.StatusOK || !f.dialect.IsReport(body) {
		return site.ServerReport{}, fmt.Errorf("status %d without a report", res.Status)
	}
	return f.dialect.Report(body)
}

// send sends a request, over a connection of its own if that is asked for, and returns the response with its body read.
func (f *Finder) send(ctx context.Context, in site.Instance, req *http.Request, newConnection bool) (*conns.Response, []byte, error) {
	res, err := f.pool.Do(ctx, conns.Target{InstanceKey: in.InstanceKey, Address: in.Address}, &conns.Request{
		Method: req.Method, URI: req.URL.RequestURI(), Host: in.Address, Header: req.Header, NewConnection: newConnection,
	})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	res.Finish(err == nil && !newConnection)
	return res, body, err
}

// isOfService reports whether a report can only come from an instance of a service: it is the only
// one whose instances report, or the only one that has the models in the report.
func isOfService(doc *site.Document, service string, r site.ServerReport) bool {
	if doc == nil {
		return false
	}
	var candidates []string
	for name, s := range doc.Services {
		if s.Engine != nil && !slices.ContainsFunc(r.Models, func(m string) bool { return s.Engine.Model(m) == nil }) {
			candidates = append(candidates, name)
		}
	}
	return len(candidates) == 1 && candidates[0] == service
}
