package main

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/oper/print"
)

func auditCommand() *cobra.Command {
	var t target
	var since, kind, name string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what, and what the planner decided",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			from, err := parseSince(since, time.Now())
			if err != nil {
				return err
			}
			records, err := t.client().Audit(cmd.Context(), from, auditPrefix(kind, name))
			if err != nil {
				return err
			}
			return print.Value(cmd.OutOrStdout(), t.output, records, print.Audit(records))
		},
	}
	t.add(cmd, print.Table)
	cmd.Flags().StringVar(&since, "since", "", "a time such as 2026-01-02T15:04:05Z, or a duration such as 2h")
	cmd.Flags().StringVar(&kind, "kind", "", "Model, Adapter, Service, Policy, Plan, Claims or Node")
	cmd.Flags().StringVar(&name, "name", "", "name of one resource; needs --kind")
	return cmd
}

// parseSince reads a point in time or a duration before now.
func parseSince(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	return at, eris.Wrapf(err, "flag --since: %q is neither a time nor a duration", text)
}

func auditPrefix(kind, name string) string {
	if k, err := kinds.Parse(kind); err == nil {
		kind = string(k)
	}
	switch {
	case kind == "":
		return ""
	case name == "":
		return kind + "/"
	}
	return kind + "/" + name
}
