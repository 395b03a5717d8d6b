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

// UnknownFormat reports an output format that does not exist.
type UnknownFormat struct {
	Format string
}

// Error names the format and those that exist.
func (u *UnknownFormat) Error() string {
	return fmt.Sprintf("output format %q is none of table, json, yaml", u.Format)
}

// Value writes any value as JSON or YAML; for Table it calls rows.
func Value(w io.Writer, format string, v any, rows func(io.Writer) error) error {
	switch format {
	case JSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case YAML:
		return writeYAML(w, v)
	case Table:
		tabs := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		if err := rows(tabs); err != nil {
			return err
		}
		return tabs.Flush()
	}
	return &UnknownFormat{format}
}

// writeYAML writes a value in the order and with the names of its JSON form.
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

// blockStyle clears the flow style that JSON is read with.
func blockStyle(n *yaml.Node) {
	n.Style = 0
	for _, c := range n.Content {
		blockStyle(c)
	}
}

// lines writes formatted lines and keeps the first error.
type lines struct {
	w   io.Writer
	err error
}

func (l *lines) add(format string, args ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.w, format+"\n", args...)
	}
}

// Resources writes one line for each resource.
func Resources(list []kinds.Resource) func(io.Writer) error {
	return func(w io.Writer) error {
		l := &lines{w: w}
		l.add("KIND\tNAME\tGENERATION\tREVISION")
		for _, r := range list {
			l.add("%s\t%s\t%d\t%d", r.Kind, r.Name, r.Generation, r.Revision)
		}
		return l.err
	}
}

// Item writes a resource's conditions and replicas.
func Item(i admin.Item) func(io.Writer) error {
	return func(w io.Writer) error {
		l := &lines{w: w}
		l.add("KIND\tNAME\tGENERATION\tREVISION\tIN FORCE")
		l.add("%s\t%s\t%d\t%d\t%d/%d", i.Resource.Kind, i.Resource.Name, i.Resource.Generation, i.Resource.Revision, i.Status.InForceOn, i.Status.Nodes)
		l.add("")
		l.add("CONDITION\tSTATUS\tREASON\tSINCE")
		for _, c := range i.Status.Conditions {
			l.add("%s\t%t\t%s\t%s", c.Type, c.Status, c.Reason, clock(c.Since))
		}
		if len(i.Status.Replicas) > 0 {
			l.add("")
			l.add("ENDPOINT\tDOMAIN\tDECIDED\tSTATE\tRUNNING\tQUEUED\tLAST WAKE\tCOLD P99\tIDLE HOURS")
		}
		for _, r := range i.Status.Replicas {
			l.add("%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%.2f", r.Endpoint, r.Domain, r.Decision, state(r.State, r.Unreachable), r.Running, r.Queued,
				clock(r.LastWake), r.ColdP99.Std().Round(time.Millisecond), r.IdleHours)
		}
		return l.err
	}
}

// Cluster writes the models, endpoints and nodes.
func Cluster(c admin.Cluster) func(io.Writer) error {
	return func(w io.Writer) error {
		l := &lines{w: w}
		l.add("MODEL\tDECIDED\tLOADED\tLOADING\tWHERE\tLAST WAKE\tCOLD P99\tIDLE HOURS\tNOT READY")
		for _, m := range c.Models {
			where, wake, cold, idle := summary(m.Status)
			l.add("%s\t%d\t%d\t%d\t%s\t%s\t%s\t%.2f\t%s", m.Name, m.Decided, m.Loaded, m.Loading, where, clock(wake), cold, idle, reason(m.Status))
		}
		l.add("")
		l.add("ENDPOINT\tDOMAIN\tEPOCH\tMEMORY GB\tUSED GB\tQUEUED\tSTATE")
		for _, e := range c.Endpoints {
			l.add("%s\t%s\t%d\t%.1f\t%.1f\t%d\t%s", e.Name, e.Domain, e.Epoch, gigabytes(e.MemoryBytes), gigabytes(e.UsedBytes), e.Queued, endpointState(e))
		}
		l.add("")
		l.add("NODE\tROLE\tDOMAIN\tREVISION IN FORCE (newest %d)", c.Revision)
		for _, n := range c.Nodes {
			l.add("%s\t%s\t%s\t%d", n.Name, n.Role, n.Domain, n.Revision)
		}
		return l.err
	}
}

// summary condenses a model's replicas.
func summary(s admin.Status) (where string, wake time.Time, cold time.Duration, idle float64) {
	var places []string
	for _, r := range s.Replicas {
		if r.State != "Dormant" {
			places = append(places, r.Endpoint)
		}
		if r.LastWake.After(wake) {
			wake = r.LastWake
		}
		cold = max(cold, r.ColdP99.Std())
		idle += r.IdleHours
	}
	if len(places) == 0 {
		places = []string{"-"}
	}
	return strings.Join(places, ","), wake, cold.Round(time.Millisecond), idle
}

func reason(s admin.Status) string {
	for _, c := range s.Conditions {
		if c.Type == "Ready" && !c.Status {
			return c.Reason
		}
	}
	return "-"
}

func endpointState(e admin.EndpointLine) string {
	switch {
	case e.Unreachable:
		return "unreachable"
	case e.Leaving:
		return "leaving"
	}
	return "serving"
}

func state(s string, unreachable bool) string {
	if unreachable {
		return "unreachable"
	}
	return s
}

func gigabytes(n int64) float64 {
	return float64(n) / (1 << 30)
}

func clock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.DateTime)
}

// Audit writes one line for each record and one for each changed field.
func Audit(records []audit.Record) func(io.Writer) error {
	return func(w io.Writer) error {
		l := &lines{w: w}
		l.add("TIME\tACTOR\tACTION\tKEY\tFROM\tTO")
		for _, r := range records {
			l.add("%s\t%s\t%s\t%s\t%d\t%d", clock(r.Time), r.Actor, r.Action, r.Key, r.From, r.To)
			for _, c := range r.Changes {
				l.add("\t\t\t  %s: %s -> %s\t\t", c.Path, orDash(c.Old), orDash(c.New))
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
