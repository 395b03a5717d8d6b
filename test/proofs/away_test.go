package proofs

import (
	"context"
	"errors"

	"foxtailcroft/internal/core/fault"
)

func awayError(ctx context.Context) error {
	err := ctx.Err()
	if err == nil {
		err = errors.New("cut off")
	}
	return &fault.Unavailable{Service: "store", Err: err, MayHaveApplied: true}
}
