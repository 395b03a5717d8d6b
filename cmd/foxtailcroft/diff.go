package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/oper/review"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/platform"
)

// unreadableInput reports input that cannot be read, or flags that don't say what to read.
type unreadableInput struct {
	err error
}

func (u *unreadableInput) Error() string { return u.err.Error() }

func (u *unreadableInput) Unwrap() error { return u.err }

func unreadable(format string, args ...any) error {
	return &unreadableInput{fmt.Errorf(format, args...)}
}

// reviewFindings is the error of a document with findings, which have been printed.
type reviewFindings struct {
	count int
}

func (f *reviewFindings) Error() string {
	return fmt.Sprintf("findings: %d", f.count)
}

// The output formats of config diff.
const (
	outputText = "text"
	outputJSON = "json"
)

// diffFlags holds the flags of config diff.
type diffFlags struct {
	inForce string
	store   string
	output  string
}

func configDiffCommand() *cobra.Command {
	var flags diffFlags
	cmd := &cobra.Command{
		Use:   "diff NEW",
		Short: "Report faults of a platform document, and its differences from the version in force",
		Long: "Reports errors of the operator's document in the file NEW, entries that no request can reach, limits that contradict each other, " +
			"and differences from the version in force, if that is given. The exit status is 0 without findings, 1 with findings, and 2 if the input cannot be read.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 1 {
				return unreadable("config diff needs one file, not %d", len(args))
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error { return runDiff(cmd, args[0], flags) },
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &unreadableInput{err} })
	cmd.Flags().StringVar(&flags.inForce, "in-force", "", "file with the version in force")
	cmd.Flags().StringVar(&flags.store, "store", "", "address (host:port) of the platform's store, to read the version in force")
	cmd.Flags().StringVarP(&flags.output, "output", "o", outputText, "text or json")
	return cmd
}

func runDiff(cmd *cobra.Command, file string, flags diffFlags) error {
	switch {
	case flags.output != outputText && flags.output != outputJSON:
		return unreadable("flag --output: %q is neither text nor json", flags.output)
	case flags.inForce != "" && flags.store != "":
		return unreadable("flags --in-force and --store exclude each other")
	}
	next, err := readDocument(file)
	if err != nil {
		return err
	}
	inForce, err := readInForce(cmd.Context(), flags)
	if err != nil {
		return err
	}
	list := review.Run(*next, inForce)
	if err := writeFindings(cmd, flags.output, list); err != nil {
		return &unreadableInput{err}
	}
	if len(list) > 0 {
		return &reviewFindings{len(list)}
	}
	return nil
}

func writeFindings(cmd *cobra.Command, output string, list []review.Finding) error {
	if output == outputText {
		return review.Write(cmd.OutOrStdout(), list)
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(struct{ Findings []review.Finding }{list})
}

// readInForce reads the version in force, nil if the flags name none.
func readInForce(ctx context.Context, flags diffFlags) (*review.Input, error) {
	var in *review.Input
	var err error
	switch {
	case flags.inForce != "":
		in, err = readDocument(flags.inForce)
	case flags.store != "":
		in, err = readStored(ctx, flags.store)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if in.Source.Draft == nil {
		m := in.Source.Mistakes[0]
		return nil, unreadable("%s:%d:%d: %s %s", in.Name, m.Line, m.Column, m.Path, m.Rule)
	}
	return in, nil
}

func readDocument(file string) (*review.Input, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &unreadableInput{err}
	}
	return decodeSource(file, data)
}

func decodeSource(name string, data []byte) (*review.Input, error) {
	source, err := platform.DecodeSource(data)
	if err != nil {
		return nil, &unreadableInput{eris.Wrap(err, name)}
	}
	return &review.Input{Name: name, Source: source}, nil
}

// storeReadTimeout bounds the read of the version in force.
const storeReadTimeout = 5 * time.Second

// readStored reads the version in force from the platform's store.
func readStored(ctx context.Context, address string) (*review.Input, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	var s store.Store = platform.NewStore(address, transport(), storeReadTimeout, metrics.NewSet())
	kv, ok, err := s.Get(ctx, platform.DocumentKey)
	if err != nil {
		return nil, &unreadableInput{eris.Wrapf(err, "store at %s", address)}
	}
	if !ok {
		return nil, unreadable("store at %s has no document", address)
	}
	return decodeSource(platform.DocumentKey, kv.Value)
}
