package main

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/oper/remote"
)

func applyCommand() *cobra.Command {
	var t target
	var files []string
	var revision int64
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Create or change the resources of a file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := remote.Write{DryRun: dryRun}
			if cmd.Flags().Changed("revision") {
				w.Revision = &revision
			}
			return runApply(cmd, t, files, w)
		},
	}
	t.add(cmd, "")
	cmd.Flags().StringArrayVarP(&files, "file", "f", nil, "resource file, - for standard input; may be repeated")
	cmd.Flags().Int64Var(&revision, "revision", 0, "revision that the resource must be at; 0 for a new one")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check without changing anything")
	if err := cmd.MarkFlagRequired("file"); err != nil {
		panic(err)
	}
	return cmd
}

func runApply(cmd *cobra.Command, t target, files []string, w remote.Write) error {
	list, err := readResources(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	client := t.client()
	for _, kind := range kinds.All() {
		for _, r := range list {
			if r.Kind != kind {
				continue
			}
			done, err := client.Put(cmd.Context(), r, w)
			if err != nil {
				return eris.Wrapf(err, "%s", r.Key())
			}
			if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s generation %d revision %d\n", done.Key(), done.Generation, done.Revision); err != nil {
				return err
			}
		}
	}
	return nil
}

// readResources reads and checks all files before anything is changed.
func readResources(stdin io.Reader, files []string) ([]kinds.Resource, error) {
	var out []kinds.Resource
	for _, file := range files {
		data, err := readFile(stdin, file)
		if err != nil {
			return nil, err
		}
		list, err := conf.Resources(file, data)
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}

func readFile(stdin io.Reader, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}
