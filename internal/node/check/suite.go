package check

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"path"
	"time"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/link/heads"
	"foxtailcroft/internal/oper/remote"
)

// FailedError reports how many example requests failed their checks.
type FailedError struct {
	Count int
}

// Error returns the count as text.
func (f *FailedError) Error() string {
	return fmt.Sprintf("%d example requests failed their checks", f.Count)
}

// ReadResources reads the resources in the YAML files of a directory.
func ReadResources(files fs.FS) ([]kinds.Resource, error) {
	names, err := fs.Glob(files, "*.yaml")
	if err != nil {
		return nil, err
	}
	var out []kinds.Resource
	for _, name := range names {
		data, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, err
		}
		list, err := conf.DecodeResources(name, data)
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}

// ReadRequests reads the example requests in the YAML files of the directory "requests".
func ReadRequests(files fs.FS) ([]Request, error) {
	names, err := fs.Glob(files, path.Join("requests", "*.yaml"))
	if err != nil {
		return nil, err
	}
	var out []Request
	for _, name := range names {
		data, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, err
		}
		var r Request
		if err := conf.Decode(name, data, &r); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// ApplyResources writes resources through an entry, referenced kinds first. It retries each write until it succeeds
// or the context ends, because the entry may still be starting.
func ApplyResources(ctx context.Context, c *remote.Client, resources []kinds.Resource) error {
	for _, kind := range kinds.All() {
		for _, r := range resources {
			if r.Kind != kind {
				continue
			}
			if err := applyOne(ctx, c, r); err != nil {
				return fmt.Errorf("%s: %w", r.Key(), err)
			}
		}
	}
	return nil
}

// retryInterval is the pause between two attempts of a write or a readiness check.
const retryInterval = 100 * time.Millisecond

func applyOne(ctx context.Context, c *remote.Client, r kinds.Resource) error {
	for {
		_, err := c.Put(ctx, r, remote.WriteOptions{})
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

// WaitReady waits until the slots of all models are decided and MinReplicas of
// each are loaded, every service has an endpoint, and all resources are in force
// on all nodes.
func WaitReady(ctx context.Context, c *remote.Client, resources []kinds.Resource) error {
	for {
		notReady := firstNotReady(ctx, c, resources)
		if notReady == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready in time: %s", notReady)
		case <-time.After(retryInterval):
		}
	}
}

// firstNotReady describes the first resource that is not ready, or returns an empty string.
func firstNotReady(ctx context.Context, c *remote.Client, resources []kinds.Resource) string {
	for _, r := range resources {
		item, err := c.Get(ctx, r.Kind, r.Name)
		if err != nil {
			return fmt.Sprintf("%s: %v", r.Key(), err)
		}
		for _, cond := range item.Status.Conditions {
			if cond.Type == "Ready" && !cond.Status {
				return r.Key() + ": " + cond.Reason
			}
		}
		if item.Status.InForceOn < item.Status.Nodes || item.Status.Nodes == 0 {
			return fmt.Sprintf("%s: in force on %d of %d nodes", r.Key(), item.Status.InForceOn, item.Status.Nodes)
		}
		if r.Kind == kinds.Model && item.Status.Decided < r.Model.MaxReplicas {
			return fmt.Sprintf("%s: %d of %d slots decided", r.Key(), item.Status.Decided, r.Model.MaxReplicas)
		}
	}
	return ""
}

// Run sends all requests in turn and prints a summary line for each. runCount returns
// how often a service executed a request with the given body.
func Run(ctx context.Context, out io.Writer, c *remote.Client, entries []string, requests []Request, runCount func(service, body string) int) error {
	client := &http.Client{Transport: heads.Transport(&http.Transport{MaxIdleConnsPerHost: 64})}
	defer client.CloseIdleConnections()
	failed := 0
	for _, r := range requests {
		res := Send(client, entries, r)
		if n := runCount(r.Service, r.Prompt); r.RunsOnce && n != 1 {
			res.Failures = append(res.Failures, fmt.Sprintf("ran %d times", n))
		}
		replicas, bad := replicaSummary(ctx, c, r.Model)
		if bad {
			res.Failures = append(res.Failures, "more replicas loaded than decided")
		}
		if len(res.Failures) > 0 {
			failed++
		}
		if _, err := fmt.Fprintln(out, res.Summary(replicas)); err != nil {
			return err
		}
	}
	if failed > 0 {
		return &FailedError{failed}
	}
	return nil
}

// replicaSummary formats the numbers of loaded and decided replicas of a model or of an adapter's model.
// failed is true if more are loaded than decided, or if the status cannot be read.
func replicaSummary(ctx context.Context, c *remote.Client, name string) (text string, failed bool) {
	if name == "" {
		return "", false
	}
	if a, err := c.Get(ctx, kinds.Adapter, name); err == nil {
		name = a.Resource.Adapter.Model
	}
	item, err := c.Get(ctx, kinds.Model, name)
	if err != nil {
		return " replicas=unknown", true
	}
	loadedOrLoading := item.Status.Loaded + item.Status.Loading
	return fmt.Sprintf(" replicas=%d/%d", loadedOrLoading, item.Status.Decided), loadedOrLoading > item.Status.Decided
}
