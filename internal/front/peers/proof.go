package peers

import (
	"context"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/fresh"
)

// methodProof asks a front for its proof that the document is current.
const methodProof = "Proof"

// proofQuestion asks for a proof; Revision is that of the document's key at the asking front.
type proofQuestion struct {
	Revision int64
}

// proofReply holds the front's proof, nil if it has none.
type proofReply struct {
	Proof *fresh.Statement `json:",omitempty"`
}

// answerProofs registers the handler of questions for this front's proof.
func answerProofs(mux *peer.Mux, f *follow.Follower) {
	peer.OnCall(mux, methodProof, func(context.Context, *peer.Conn, proofQuestion) (proofReply, error) {
		return proofReply{Proof: f.ProofStatement()}, nil
	})
}

// AskProofs asks up to sampleSize other fronts, chosen at random, for their proofs, and calls adopt
// with each one as it arrives.
func (m *Client) AskProofs(ctx context.Context, revision int64, adopt func(fresh.Statement)) {
	var group conc.WaitGroup
	defer group.Wait()
	for _, address := range m.sampleFronts(sampleSize) {
		group.Go(func() {
			var reply proofReply
			if m.call(ctx, address, methodProof, callTimeout, proofQuestion{Revision: revision}, &reply) == nil && reply.Proof != nil {
				adopt(*reply.Proof)
			}
		})
	}
}
