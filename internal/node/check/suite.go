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
	"foxtailcroft/internal/oper/remote"
)

// Failed reports how many requests did not end as promised.
type Failed struct {
	Count int
}

// Error gives the count.
func (f *Failed) Error() string {
	return fmt.Sprintf("%d requests did not end as promised", f.Count)
}

// Resources reads the resource files of a directory.
func Resources(files fs.FS) ([]kinds.Resource, error) {
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
		list, err := conf.Resources(name, data)
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}

// Requests reads the request files of the directory "requests".
func Requests(files fs.FS) ([]Request, error) {
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

// Apply puts resources through an entry, in an order in which references hold, repeating while the entry starts.
func Apply(ctx context.Context, c *remote.Client, list []kinds.Resource) error {
	for _, kind := range kinds.All() {
		for _, r := range list {
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

const retryEvery = 100 * time.Millisecond

func applyOne(ctx context.Context, c *remote.Client, r kinds.Resource) error {
	for {
		_, err := c.Put(ctx, r, remote.Write{})
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryEvery):
		}
	}
}

// WaitReady waits until the models' slots are decided and their first
// MinReplicas loaded, each service has an endpoint, and all nodes have all in force.
func WaitReady(ctx context.Context, c *remote.Client, list []kinds.Resource) error {
	for {
		missing := notReady(ctx, c, list)
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready in time: %s", missing)
		case <-time.After(retryEvery):
		}
	}
}

func notReady(ctx context.Context, c *remote.Client, list []kinds.Resource) string {
	for _, r := range list {
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

// Run sends every request and prints a line for each. runs tells how often a
// body ran at a service.
func Run(ctx context.Context, out io.Writer, c *remote.Client, entries []string, requests []Request, runs func(service, body string) int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	failed := 0
	for _, r := range requests {
		res := Send(client, entries, r)
		if n := runs(r.Service, r.Prompt); r.RunsOnce && n != 1 {
			res.Faults = append(res.Faults, fmt.Sprintf("ran %d times", n))
		}
		replicas, bad := replicasOf(ctx, c, r.Model)
		if bad {
			res.Faults = append(res.Faults, "more replicas loaded than decided")
		}
		if len(res.Faults) > 0 {
			failed++
		}
		if _, err := fmt.Fprintln(out, res.Line(replicas)); err != nil {
			return err
		}
	}
	if failed > 0 {
		return &Failed{failed}
	}
	return nil
}

// replicasOf words how many replicas of a request's model are loaded and decided.
func replicasOf(ctx context.Context, c *remote.Client, name string) (text string, bad bool) {
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
	up := item.Status.Loaded + item.Status.Loading
	return fmt.Sprintf(" replicas=%d/%d", up, item.Status.Decided), up > item.Status.Decided
}
