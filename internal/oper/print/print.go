package print

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gopkg.in/yaml.v3"

	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/entry/admin"
)

// The output formats.
const (
	Table = "table"
	JSON  = "json"
	YAML  = "yaml"
)

// UnknownFormat reports an unsupported output format.
type UnknownFormat struct {
	Format string
}

// Error names the unknown format and the supported ones.
func (u *UnknownFormat) Error() string {
	return fmt.Sprintf("output format %q is none of table, json, yaml", u.Format)
}

// Render writes v as JSON or YAML. For Table it calls table, which writes lines with tab-separated columns.
// It returns an *UnknownFormat for any other format.
func Render(w io.Writer, format string, v any, table func(io.Writer) error) error {
	switch format {
	case JSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case YAML:
		return writeYAML(w, v)
	case Table:
		tabs := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		if err := table(tabs); err != nil {
			return err
		}
		return tabs.Flush()
	}
	return &UnknownFormat{format}
}

// writeYAML writes a value as YAML with the field names and field order of its JSON encoding.
func writeYAML(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return err
	}
	blockStyle(&node)
	var out bytes.Buffer
	enc := yaml.NewEncoder(&out)
	enc.SetIndent(2)
	if err := enc.Encode(&node); err != nil {
		return err
	}
	_, err = w.Write(out.Bytes())
	return err
}

// blockStyle sets block style for a node and its descendants; nodes parsed from JSON have flow style.
func blockStyle(n *yaml.Node) {
	n.Style = 0
	for _, c := range n.Content {
		blockStyle(c)
	}
}

// lineWriter writes formatted lines until the first error, which it keeps.
type lineWriter struct {
	w   io.Writer
	err error
}

func (l *lineWriter) printf(format string, args ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.w, format+"\n", args...)
	}
}

// Resources returns a function that writes a table with one line for each resource.
func Resources(list []kinds.Resource) func(io.Writer) error {
	return func(w io.Writer) error {
		l := &lineWriter{w: w}
		l.printf("KIND\tNAME\tGENERATION\tREVISION")
		for _, r := range list {
			l.printf("%s\t%s\t%d\t%d", r.Kind, r.Name, r.Generation, r.Revision)
		}
		return l.err
	}
}

// Item returns a function that writes the conditions and replicas of a resource as tables.
func Item(i admin.Item) func(io.Writer) error {
	return func(w io.Writer) error {
		l := &lineWriter{w: w}
		l.printf("KIND\tNAME\tGENERATION\tREVISION\tIN FORCE")
		l.printf("%s\t%s\t%d\t%d\t%d/%d", i.Resource.Kind, i.Resource.Name, i.Resource.Generation, i.Resource.Revision, i.Status.InForceOn, i.Status.Nodes)
		l.printf("")
		l.printf("CONDITION\tSTATUS\tREASON\tSINCE")
		for _, c := range i.Status.Conditions {
			l.printf("%s\t%t\t%s\t%s", c.Type, c.Status, c.Reason, localTime(c.Since))
		}
		if len(i.Status.Replicas) > 0 {
			l.printf("")
			l.printf("ENDPOINT\tDOMAIN\tDECIDED\tSTATE\tRUNNING\tQUEUED\tLAST WAKE\tCOLD P99\tIDLE HOURS")
		}
		for _, r := range i.Status.Replicas {
			l.printf("%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%.2f", r.Endpoint, r.Domain, r.Decision, replicaState(r.State, r.Unreachable), r.Running, r.Queued,
				localTime(r.LastWake), r.ColdP99.Std().Round(time.Millisecond), r.IdleHours)
		}
		return l.err
	}
}

// Cluster returns a function that writes the models, endpoints and nodes as tables.
func Cluster(c admin.Cluster) func(io.Writer) error {
	return func(w io.Writer) error {
		l := &lineWriter{w: w}
		l.printf("MODEL\tDECIDED\tLOADED\tLOADING\tWHERE\tLAST WAKE\tCOLD P99\tIDLE HOURS\tNOT READY")
		for _, m := range c.Models {
			where, lastWake, coldP99, idleHours := replicaSummary(m.Status)
			l.printf("%s\t%d\t%d\t%d\t%s\t%s\t%s\t%.2f\t%s", m.Name, m.Decided, m.Loaded, m.Loading, where, localTime(lastWake), coldP99, idleHours, notReadyReason(m.Status))
		}
		l.printf("")
		l.printf("ENDPOINT\tDOMAIN\tEPOCH\tMEMORY GB\tUSED GB\tQUEUED\tSTATE")
		for _, e := range c.Endpoints {
			l.printf("%s\t%s\t%d\t%.1f\t%.1f\t%d\t%s", e.Name, e.Domain, e.Epoch, gibibytes(e.MemoryBytes), gibibytes(e.UsedBytes), e.Queued, endpointState(e))
		}
		l.printf("")
		l.printf("NODE\tROLE\tDOMAIN\tREVISION IN FORCE (newest %d)", c.Revision)
		for _, n := range c.Nodes {
			l.printf("%s\t%s\t%s\t%d", n.Name, n.Role, n.Domain, n.Revision)
		}
		return l.err
	}
}

// replicaSummary returns the endpoints with a replica that is not dormant, the last wake, the highest 99th percentile
// of cold starts and the total of idle hours over a model's replicas.
func replicaSummary(s admin.Status) (where string, lastWake time.Time, coldP99 time.Duration, idleHours float64) {
	var places []string
	for _, r := range s.Replicas {
		if r.State != "Dormant" {
			places = append(places, r.Endpoint)
		}
		if r.LastWake.After(lastWake) {
			lastWake = r.LastWake
		}
		coldP99 = max(coldP99, r.ColdP99.Std())
		idleHours += r.IdleHours
	}
	if len(places) == 0 {
		places = []string{"-"}
	}
	return strings.Join(places, ","), lastWake, coldP99.Round(time.Millisecond), idleHours
}

// notReadyReason returns the reason of a false Ready condition, or "-" if there is none.
func notReadyReason(s admin.Status) string {
	for _, c := range s.Conditions {
		if c.Type == "Ready" && !c.Status {
			return c.Reason
		}
	}
	return "-"
}

func endpointState(e admin.EndpointStatus) string {
	switch {
	case e.Unreachable:
		return "unreachable"
	case e.Leaving:
		return "leaving"
	}
	return "serving"
}

func replicaState(s string, unreachable bool) string {
	if unreachable {
		return "unreachable"
	}
	return s
}

func gibibytes(n int64) float64 {
	return float64(n) / (1 << 30)
}

// localTime formats t in the local time zone. The zero time gives "-".
func localTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.DateTime)
}

// Audit returns a function that writes a table with one line for each record and one for each changed field.
func Audit(records []audit.Record) func(io.Writer) error {
	return func(w io.Writer) error {
		l := &lineWriter{w: w}
		l.printf("TIME\tACTOR\tACTION\tKEY\tFROM\tTO")
		for _, r := range records {
			l.printf("%s\t%s\t%s\t%s\t%d\t%d", localTime(r.Time), r.Actor, r.Action, r.Key, r.From, r.To)
			for _, c := range r.Changes {
				l.printf("\t\t\t  %s: %s -> %s\t\t", c.Path, orDash(c.Old), orDash(c.New))
			}
		}
		return l.err
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
