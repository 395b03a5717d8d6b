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
	"foxtailcroft/internal/link/fanout"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/ledger"
	"foxtailcroft/internal/plat/store"
)

// Options are a member's identity and dependencies.
type Options struct {
	Self      plan.Node
	Listener  net.Listener
	Dial      peer.Dialer
	Store     store.Store
	Instances fleet.List
	Metrics   *metrics.Set
	Log       *zap.Logger
}

// Member connects a process with the other processes of the deployment.
type Member struct {
	Options
	// Incarnation distinguishes this process from earlier processes with the same node name. It is the start
	// time in nanoseconds since the Unix epoch.
	Incarnation int64
	Holder      *view.Holder
	Mux         *peer.Mux
	Pool        *peer.Pool
	Server      *peer.Server
	Relay       *fanout.Relay
	Follower    *fanout.Follower
	Ledger      *ledger.Ledger
}

// New returns a member that serves nothing until Start is called, and the function that closes its connections.
func New(o Options) (*Member, func()) {
	m := &Member{Options: o, Incarnation: time.Now().UnixNano(), Holder: view.NewHolder(), Mux: peer.NewMux()}
	hello := func() peer.Hello { return peer.Hello{Node: o.Self.Name, Epoch: m.Incarnation} }
	pool, closePool := peer.NewPool(o.Dial, m.Mux, hello)
	server, closeServer := peer.NewServer(o.Listener, m.Mux, hello)
	server.SetMaxUnknown(maxUnknownPeers)
	m.Pool, m.Server = pool, server
	m.Relay = fanout.NewRelay(o.Self.Name, m.Holder, m.Mux)
	m.Follower = &fanout.Follower{Self: o.Self, Holder: m.Holder, Relay: m.Relay, Store: o.Store, List: o.Instances, Pool: pool, Log: o.Log.Named("Spread")}
	m.Ledger = ledger.New(o.Store, logs.AuditLogger(o.Log))
	o.Metrics.GetOrCreateGauge("foxtailcroft_revision", func() float64 { return float64(m.Holder.View().Revision()) })
	o.Metrics.GetOrCreateGauge("foxtailcroft_peer_bytes_sent", func() float64 { return float64(m.BytesSent()) })
	return m, func() {
		closeServer()
		closePool()
	}
}

// maxUnknownPeers bounds the connections whose other end has not named itself. A node's handshake
// takes milliseconds, also when hundreds connect at the same time.
const maxUnknownPeers = 512

// Start adds tasks to the tree that serve the other processes and follow the configuration.
func (m *Member) Start(t *tree.Supervisor) {
	t.Critical("PeerServer", m.Server.Serve)
	for parent := range fanout.ParentCount {
		t.KeepRunning("Follower", func(ctx context.Context) { m.Follower.Run(ctx, parent) })
	}
}

// maxRegisterDelay bounds the backoff between attempts to register the node.
const maxRegisterDelay = 2 * time.Second

// Register registers the node under the next epoch and returns that epoch. It
// retries with backoff while the store is unreachable, and fails only when the
// context ends or the record cannot be encoded.
func (m *Member) Register(ctx context.Context) (int64, error) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.MaxInterval = maxRegisterDelay
	return backoff.Retry(ctx, func() (int64, error) {
		epoch, err := m.registerOnce(ctx)
		if err != nil {
			m.Log.Warn("node registration failed; retrying", zap.Error(err))
		}
		return epoch, err
	}, backoff.WithBackOff(retryBackoff), backoff.WithMaxElapsedTime(0))
}

// registerOnce writes the node's record with the epoch incremented. It fails on a concurrent write.
func (m *Member) registerOnce(ctx context.Context) (int64, error) {
	key := plan.NodeKey(m.Self.Name)
	kv, _, err := m.Store.Get(ctx, store.StatePrefix+key)
	if err != nil {
		return 0, err
	}
	var previous plan.Node
	if len(kv.Value) > 0 {
		if err := json.Unmarshal(kv.Value, &previous); err != nil {
			m.Log.Error("decoding the stored node record failed; overwriting it", zap.Error(err))
		}
	}
	updated := m.Self
	updated.Epoch = previous.Epoch + 1
	value, err := json.Marshal(updated)
	if err != nil {
		return 0, backoff.Permanent(err)
	}
	ctx, cancel := context.WithTimeout(ctx, registerWriteTimeout)
	defer cancel()
	_, err = m.Ledger.Write(ctx, ledger.Change{Key: key, Before: kv.Value, After: value, From: kv.Revision, Actor: m.Self.Name, Action: "EpochTaken"})
	var conflict *fault.RevisionConflict
	if errors.As(err, &conflict) {
		return 0, err
	}
	return updated.Epoch, err
}

// registerWriteTimeout bounds the write of the node's record in one attempt.
const registerWriteTimeout = 5 * time.Second

// AnnounceLeaving notifies all connected processes that this node accepts no new work.
func (m *Member) AnnounceLeaving(epoch int64) {
	leaving := wire.Leaving{Node: m.Self.Name, Epoch: epoch}
	for _, c := range append(m.Server.Conns(), m.Pool.Conns()...) {
		// A process that misses the notification is refused when it sends work.
		_ = c.Notify(wire.MethodLeaving, leaving)
	}
}

// BytesSent returns the number of bytes written to the current connections.
func (m *Member) BytesSent() int64 {
	var sum int64
	for _, c := range append(m.Server.Conns(), m.Pool.Conns()...) {
		sum += c.BytesSent()
	}
	return sum
}
