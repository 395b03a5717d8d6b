package main

import (
	"net"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/node/agent"
)

func agentCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "agent --config FILE",
		Short: "Run the agent beside one endpoint",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runAgent(cmd, file)
		},
	}
	configFlag(cmd, &file)
	return cmd
}

func runAgent(cmd *cobra.Command, file string) error {
	set, err := conf.ReadAgent(file)
	if err != nil {
		return err
	}
	node := plan.Node{Name: set.Node.Name, Role: plan.Agent, Region: set.Node.Region, Domain: set.Node.Domain, Back: plan.ServiceBack}
	var backs agent.Backs
	if set.Engine != nil {
		node.Back, node.MemoryBytes = plan.EngineBack, set.Engine.MemoryBytes
		backs.Engine = engine.NewClient(set.Engine.URL, transport())
	} else {
		node.Service = set.Service.Name
		client, err := plain.NewClient(set.Service.URL, transport(), freshTransport())
		if err != nil {
			return eris.Wrap(err, "service client")
		}
		backs.Plain = client
	}
	o, err := memberOptions(node, set.Listen.Peers, set.Platform, set.Log.Level)
	if err != nil {
		return err
	}
	metrics, err := net.Listen("tcp", set.Listen.Metrics)
	if err != nil {
		return eris.Wrap(err, "metrics listener")
	}
	a, closeAgent := agent.New(set, o, backs)
	return supervise(cmd.Context(), o.Log, func(t *tree.Tree) error {
		t.OnClose(closeAgent)
		a.Start(t, metrics)
		return nil
	}, a.Drain)
}
