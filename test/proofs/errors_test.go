package proofs

import (
	"context"
	"errors"

	"foxtailcroft/internal/core/fault"
)

// unavailableError returns the error of a store call without an answer. A write may have
// taken effect.
func unavailableError(ctx context.Context) error {
	err := ctx.Err()
	if err == nil {
		err = errors.New("node is cut off from the store")
	}
	return &fault.Unavailable{Service: "store", Err: err, MayHaveApplied: true}
}
