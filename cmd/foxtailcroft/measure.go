package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/lab/flows"
	"foxtailcroft/internal/lab/sheet"
)

func measureCommand() *cobra.Command {
	var seeds []uint
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Run the policies over generated workloads in simulated time and print the table",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runMeasure(cmd, seeds)
		},
	}
	cmd.Flags().UintSliceVar(&seeds, "seeds", nil, "seeds of the workloads; the verdict's seeds if not given")
	return cmd
}

func runMeasure(cmd *cobra.Command, seeds []uint) error {
	list := sheet.VerdictSeeds()
	if len(seeds) > 0 {
		list = nil
		for _, s := range seeds {
			list = append(list, uint64(s))
		}
	}
	for _, d := range []flows.Deployment{flows.Kiraboshi(), flows.WarmHands()} {
		if err := sheet.Write(cmd.OutOrStdout(), d, list); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(cmd.OutOrStdout()); err != nil {
			return err
		}
	}
	return nil
}
