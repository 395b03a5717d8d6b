package proofs

import (
	"context"
	"errors"

	"foxtailcroft/internal/core/fault"
)

// awayError returns the error of a store call without an answer. A write may have
// taken effect.
func awayError(ctx context.Context) error {
	err := ctx.Err()
	if err == nil {
		err = errors.New("node is cut off from the store")
	}
	return &fault.Unavailable{Service: "store", Err: err, MayHaveApplied: true}
}
