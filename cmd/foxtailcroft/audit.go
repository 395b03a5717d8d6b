package main

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/oper/print"
)

func auditCommand() *cobra.Command {
	var flags entryFlags
	var since, kind, name string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show the audit trail of operator changes and planner decisions",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			from, err := parseSince(since, time.Now())
			if err != nil {
				return err
			}
			records, err := flags.client().Audit(cmd.Context(), from, auditPrefix(kind, name))
			if err != nil {
				return err
			}
			return print.Render(cmd.OutOrStdout(), flags.output, records, print.Audit(records))
		},
	}
	flags.register(cmd, print.Table)
	cmd.Flags().StringVar(&since, "since", "", "show records since a time such as 2026-01-02T15:04:05Z, or for a past duration such as 2h")
	cmd.Flags().StringVar(&kind, "kind", "", "show only records of one kind: Model, Adapter, Service, Policy, Account, Plan, Claims or Node")
	cmd.Flags().StringVar(&name, "name", "", "show only records of the resource with this name; needs --kind")
	return cmd
}

// parseSince parses an RFC 3339 time or a duration before now. An empty text gives the zero time.
func parseSince(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	from, err := time.Parse(time.RFC3339, text)
	return from, eris.Wrapf(err, "flag --since: %q is neither an RFC 3339 time nor a duration", text)
}

// auditPrefix returns the key prefix that selects audit records; it is empty if no kind is given.
func auditPrefix(kind, name string) string {
	if k, err := kinds.ParseKind(kind); err == nil {
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
