package member

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/logs"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/spread"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/ledger"
	"foxtailcroft/internal/plat/store"
)

// Options are what a process brings along.
type Options struct {
	Self     plan.Node
	Listener net.Listener
	Dial     peer.Dialer
	Store    store.Store
	List     fleet.List
	Meters   *metrics.Set
	Log      *zap.Logger
}

// Member is one process's place among the others.
type Member struct {
	Options
	// Incarnation tells this process from the others that had its name.
	Incarnation int64
	Holder      *view.Holder
	Mux         *peer.Mux
	Pool        *peer.Pool
	Server      *peer.Server
	Relay       *spread.Relay
	Follower    *spread.Follower
	Ledger      *ledger.Ledger
}

// New returns a member that does not serve yet, and the function that closes its connections.
func New(o Options) (*Member, func()) {
	m := &Member{Options: o, Incarnation: time.Now().UnixNano(), Holder: view.NewHolder(), Mux: peer.NewMux()}
	hello := func() peer.Hello { return peer.Hello{Node: o.Self.Name, Epoch: m.Incarnation} }
	pool, closePool := peer.NewPool(o.Dial, m.Mux, hello)
	server, closeServer := peer.NewServer(o.Listener, m.Mux, hello)
	m.Pool, m.Server = pool, server
	m.Relay = spread.NewRelay(o.Self.Name, m.Holder, m.Mux)
	m.Follower = &spread.Follower{Self: o.Self, Holder: m.Holder, Relay: m.Relay, Store: o.Store, List: o.List, Pool: pool, Log: o.Log.Named("Spread")}
	m.Ledger = ledger.New(o.Store, logs.Audit(o.Log))
	o.Meters.GetOrCreateGauge("foxtailcroft_revision", func() float64 { return float64(m.Holder.View().Revision()) })
	o.Meters.GetOrCreateGauge("foxtailcroft_peer_bytes_sent", func() float64 { return float64(m.BytesSent()) })
	return m, func() {
		closeServer()
		closePool()
	}
}

// Start serves the other processes and follows the configuration.
func (m *Member) Start(t *tree.Tree) {
	t.Critical("PeerServer", m.Server.Serve)
	for parent := range spread.Parents {
		t.Keep("Follower", func(ctx context.Context) { m.Follower.Run(ctx, parent) })
	}
}

// joinPause bounds the pause between tries to register.
const joinPause = 2 * time.Second

// Join writes the node's record under the next epoch and returns that epoch.
// It goes on trying while the store is away.
func (m *Member) Join(ctx context.Context) (int64, error) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = joinPause
	return backoff.Retry(ctx, func() (int64, error) {
		epoch, err := m.joinOnce(ctx)
		if err != nil {
			m.Log.Warn("node is not registered yet", zap.Error(err))
		}
		return epoch, err
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
}

func (m *Member) joinOnce(ctx context.Context) (int64, error) {
	key := plan.NodeKey(m.Self.Name)
	kv, _, err := m.Store.Get(ctx, store.StatePrefix+key)
	if err != nil {
		return 0, err
	}
	var old plan.Node
	if len(kv.Value) > 0 {
		if err := json.Unmarshal(kv.Value, &old); err != nil {
			m.Log.Error("node record cannot be read", zap.Error(err))
		}
	}
	next := m.Self
	next.Epoch = old.Epoch + 1
	value, err := json.Marshal(next)
	if err != nil {
		return 0, backoff.Permanent(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = m.Ledger.Write(ctx, ledger.Change{Key: key, Before: kv.Value, After: value, From: kv.Revision, Actor: m.Self.Name, Action: "EpochTaken"})
	var conflict *fault.Conflict
	if errors.As(err, &conflict) {
		return 0, err
	}
	return next.Epoch, err
}

const writeTimeout = 5 * time.Second

// Announce tells every connected process that this node takes no new work.
func (m *Member) Announce(epoch int64) {
	leaving := wire.Leaving{Node: m.Self.Name, Epoch: epoch}
	for _, c := range append(m.Server.Conns(), m.Pool.Conns()...) {
		// One that cannot be told is refused when it asks.
		_ = c.Notify(wire.MethodLeaving, leaving)
	}
}

// BytesSent sums what was written to the live connections.
func (m *Member) BytesSent() int64 {
	var sum int64
	for _, c := range append(m.Server.Conns(), m.Pool.Conns()...) {
		sum += c.BytesSent()
	}
	return sum
}
