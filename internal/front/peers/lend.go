package peers

import (
	"context"
	"time"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/quota"
)

const (
	methodLend       = "Lend"
	methodLendCheck  = "LendCheck"
	methodLendReturn = "LendReturn"
)

// LendRequest asks the front that keeps an account's tokens to lend some, and returns others.
type LendRequest struct {
	Account string
	// PerSecond and Burst are the account's limits in the document of a version.
	PerSecond float64
	Burst     float64
	Version   int64
	// Needs are the costs of requests that wait.
	Needs []float64 `json:",omitempty"`
	// Ahead is what the front expects to use during a lease, in multiples of Unit.
	Ahead float64 `json:",omitempty"`
	Unit  float64 `json:",omitempty"`
	// Lease is the number of the lease that ends with this request, Run the process that gave it, and
	// Unused what is left of it.
	Run    string  `json:",omitempty"`
	Lease  int64   `json:",omitempty"`
	Unused float64 `json:",omitempty"`
	// Refunds is the cost of requests that were counted and have not run, nil for none.
	Refunds *quota.RefundTotal `json:",omitempty"`
	// Relayed is true if a deputy asks the issuer for another front.
	Relayed bool `json:",omitempty"`
}

// LendReply is what a front lends.
type LendReply struct {
	// Refused is true if the front does not keep the account's tokens.
	Refused bool `json:",omitempty"`
	// IsDeputy is true if the deputy lends in place of an issuer that does not answer.
	IsDeputy bool `json:",omitempty"`
	// Waits has for each need 0 if it was granted, or else the time after which the request may come back.
	Waits []time.Duration `json:",omitempty"`
	Ahead float64         `json:",omitempty"`
	Run   string          `json:",omitempty"`
	Lease int64           `json:",omitempty"`
}

// LendReturns returns tokens of several accounts to their issuer. The requests have no needs.
type LendReturns struct {
	Returns []LendRequest
}

// LendReturnsReply has for each account whether the front has refused the tokens, because it is not the issuer.
type LendReturnsReply struct {
	Refused []bool
}

// LendCheck asks the deputy of accounts whether it takes the asking front for their issuer.
type LendCheck struct {
	Issuer   string
	Accounts []string
}

// LendCheckReply is a deputy's answer.
type LendCheckReply struct {
	Run string
	// Confirmed has for each account whether the deputy takes the asking front for the issuer, and
	// Lent what the deputy's process has lent in place of an issuer since Born, which is 0 for an account
	// that it does not know.
	Confirmed []bool
	Lent      []float64
	Born      []int64 `json:",omitempty"`
}

// TokenLender keeps the tokens of the client accounts whose issuer or deputy this front is.
type TokenLender interface {
	Lend(ctx context.Context, r LendRequest) LendReply
	AcceptReturns(r LendReturns) LendReturnsReply
	ConfirmIssuer(c LendCheck) LendCheckReply
}

// registerLending registers the handlers of the calls about client accounts' tokens.
func registerLending(mux *peer.Mux, l TokenLender) {
	peer.OnCall(mux, methodLend, func(ctx context.Context, _ *peer.Conn, r LendRequest) (LendReply, error) {
		return l.Lend(ctx, r), nil
	})
	peer.OnCall(mux, methodLendReturn, func(_ context.Context, _ *peer.Conn, r LendReturns) (LendReturnsReply, error) {
		return l.AcceptReturns(r), nil
	})
	peer.OnCall(mux, methodLendCheck, func(_ context.Context, _ *peer.Conn, c LendCheck) (LendCheckReply, error) {
		return l.ConfirmIssuer(c), nil
	})
}

// RequestTokens asks another front to lend tokens.
func (m *Client) RequestTokens(ctx context.Context, to follow.Front, r LendRequest) (LendReply, error) {
	var reply LendReply
	err := m.call(ctx, to.Address, methodLend, callTimeout, r, &reply)
	return reply, err
}

// ReturnTokens returns tokens to another front.
func (m *Client) ReturnTokens(ctx context.Context, to follow.Front, r LendReturns) (LendReturnsReply, error) {
	var reply LendReturnsReply
	err := m.call(ctx, to.Address, methodLendReturn, callTimeout, r, &reply)
	return reply, err
}

// CheckDeputy asks the deputy of accounts whether it takes this front for their issuer.
func (m *Client) CheckDeputy(ctx context.Context, to follow.Front, c LendCheck) (LendCheckReply, error) {
	var reply LendCheckReply
	err := m.call(ctx, to.Address, methodLendCheck, callTimeout, c, &reply)
	return reply, err
}
