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
	cmd := &cobra.Command{
		Use:   "causes [LOG...]",
		Short: "Count request outcomes in front logs by route and cause",
		Long:  "Reads front logs from files, or from standard input, and counts how requests ended, by route and cause, with latencies and an example request ID for each.",
		RunE: func(cmd *cobra.Command, files []string) error {
			var t cause.Table
			if err := readLogs(cmd.InOrStdin(), files, &t); err != nil {
				return err
			}
			rows := t.Rows()
			return print.Render(cmd.OutOrStdout(), output, rows, func(w io.Writer) error { return cause.Write(w, rows) })
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", print.Table, "table, json or yaml")
	return cmd
}

// readLogs adds the requests of the named log files, or of standard input if there are none, to t.
func readLogs(in io.Reader, files []string, t *cause.Table) error {
	if len(files) == 0 {
		return cause.Read(in, t.Add)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = cause.Read(f, t.Add)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return eris.Wrap(err, name)
		}
	}
	return nil
}
