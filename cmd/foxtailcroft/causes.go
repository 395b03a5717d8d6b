package main

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/oper/cause"
	"foxtailcroft/internal/oper/print"
)

func causesCommand() *cobra.Command {
	var output string
	var starved, accounts bool
	cmd := &cobra.Command{
		Use:   "causes [LOG...]",
		Short: "Count request outcomes in front logs by route and cause",
		Long:  "Reads front logs from files, or from standard input, and counts how requests ended, by route and cause, with latencies and an example request ID for each.",
		RunE: func(cmd *cobra.Command, files []string) error {
			var t cause.Table
			var subjects cause.StarvedSubjects
			var served cause.Accounts
			add := t.Add
			switch {
			case starved:
				add = subjects.Add
			case accounts:
				add = served.Add
			}
			if err := readLogs(cmd.InOrStdin(), files, add); err != nil {
				return err
			}
			switch {
			case starved:
				rows := subjects.Rows()
				return print.Render(cmd.OutOrStdout(), output, rows, func(w io.Writer) error { return cause.WriteStarved(w, rows) })
			case accounts:
				rows := served.Worst()
				return print.Render(cmd.OutOrStdout(), output, rows, func(w io.Writer) error { return cause.WriteAccounts(w, rows) })
			}
			rows := t.Rows()
			return print.Render(cmd.OutOrStdout(), output, rows, func(w io.Writer) error { return cause.Write(w, rows) })
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", print.Table, "table, json or yaml")
	cmd.Flags().BoolVar(&starved, "starved", false, "list models, adapters and prompt parts that were asked for repeatedly and never served")
	cmd.Flags().BoolVar(&accounts, "accounts", false, "list the worst-served tenth of the client accounts")
	cmd.MarkFlagsMutuallyExclusive("starved", "accounts")
	return cmd
}

// readLogs calls add with the requests of the named log files, or of standard input if there are none.
func readLogs(in io.Reader, files []string, add func(cause.RequestLine)) error {
	if len(files) == 0 {
		return cause.Read(in, add)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = cause.Read(f, add)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return eris.Wrap(err, name)
		}
	}
	return nil
}
