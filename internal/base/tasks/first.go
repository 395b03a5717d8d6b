package tasks

import (
	"context"

	"github.com/sourcegraph/conc"
)

// First makes calls concurrently and returns the first result without an error, or the
// last error if there is none. It cancels the other calls and waits for their end.
func First[T any](ctx context.Context, calls ...func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	results := make(chan result, len(calls))
	for _, call := range calls {
		group.Go(func() {
			value, err := call(ctx)
			results <- result{value, err}
		})
	}
	var last result
	for range calls {
		if last = <-results; last.err == nil {
			break
		}
	}
	return last.value, last.err
}
