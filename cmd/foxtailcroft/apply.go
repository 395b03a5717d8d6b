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
	var flags entryFlags
	var files []string
	var revision int64
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Create or update the resources in one or more files",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := remote.WriteOptions{DryRun: dryRun}
			if cmd.Flags().Changed("revision") {
				w.IfRevision = &revision
			}
			return runApply(cmd, flags, files, w)
		},
	}
	flags.register(cmd, "")
	cmd.Flags().StringArrayVarP(&files, "file", "f", nil, "resource file, - for standard input; may be repeated")
	cmd.Flags().Int64Var(&revision, "revision", 0, "apply only if the resource is at this revision; 0 requires that it does not exist yet")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "validate the resources without changing them")
	if err := cmd.MarkFlagRequired("file"); err != nil {
		panic(err)
	}
	return cmd
}

// runApply applies the resources kind by kind, in the order of kinds.All.
func runApply(cmd *cobra.Command, flags entryFlags, files []string, w remote.WriteOptions) error {
	list, err := readResources(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	client := flags.client()
	for _, kind := range kinds.All() {
		for _, r := range list {
			if r.Kind != kind {
				continue
			}
			applied, err := client.Put(cmd.Context(), r, w)
			if err != nil {
				return eris.Wrapf(err, "%s", r.Key())
			}
			if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s generation %d revision %d\n", applied.Key(), applied.Generation, applied.Revision); err != nil {
				return err
			}
		}
	}
	return nil
}

// readResources reads and validates all files, so that an invalid file prevents any change.
func readResources(stdin io.Reader, files []string) ([]kinds.Resource, error) {
	var out []kinds.Resource
	for _, file := range files {
		data, err := readFileOrStdin(stdin, file)
		if err != nil {
			return nil, err
		}
		list, err := conf.DecodeResources(file, data)
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}

// readFileOrStdin reads standard input if file is "-".
func readFileOrStdin(stdin io.Reader, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}
