package main

import (
	"net"
	"runtime/debug"

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
		Short: "Run the agent of one endpoint",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runAgent(cmd, file)
		},
	}
	configFlag(cmd, &file)
	return cmd
}

// runAgent runs an agent for a model engine or a plain service, whichever the settings name.
func runAgent(cmd *cobra.Command, file string) error {
	settings, err := conf.ReadAgent(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(settings.MemoryBytes * softMemoryLimitPercent / 100)
	node := plan.Node{Name: settings.Node.Name, Role: plan.Agent, Region: settings.Node.Region, Domain: settings.Node.Domain, Back: plan.ServiceEndpoint}
	var backs agent.BackEnds
	if settings.Engine != nil {
		node.Back, node.MemoryBytes = plan.EngineEndpoint, settings.Engine.MemoryBytes
		backs.Engine = engine.NewClient(settings.Engine.URL, transport())
	} else {
		node.Service = settings.Service.Name
		client, err := plain.NewClient(settings.Service.URL, transport())
		if err != nil {
			return eris.Wrap(err, "service client")
		}
		backs.Plain = client
	}
	o, err := memberOptions(node, settings.Listen.Peers, settings.Platform, settings.Log.Level)
	if err != nil {
		return err
	}
	metrics, err := net.Listen("tcp", settings.Listen.Metrics)
	if err != nil {
		return eris.Wrap(err, "metrics listener")
	}
	a, closeAgent := agent.New(settings, o, backs)
	return supervise(cmd.Context(), o.Log, func(t *tree.Supervisor) error {
		t.OnClose(closeAgent)
		a.Start(t, metrics)
		return nil
	}, a.Drain)
}
