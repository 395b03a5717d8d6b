package main

import (
	"context"
	"net"
	"os"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/VictoriaMetrics/metrics"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/logs"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/node/member"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
)

// memberOptions opens the logger, peer listener and platform clients that entries and agents share.
func memberOptions(node plan.Node, listenAddress string, platform conf.Platform, level string) (member.Options, error) {
	log, err := logs.New(os.Stdout, level, node.Name)
	if err != nil {
		return member.Options{}, eris.Wrap(err, "logger")
	}
	lis, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return member.Options{}, eris.Wrap(err, "peer listener")
	}
	node.Address = lis.Addr().String()
	meters := metrics.NewSet()
	return member.Options{
		Self: node, Listener: lis, Dial: peer.DialTCP, Metrics: meters, Log: log,
		Store:     store.NewClient(platform.Store, transport(), platform.CallsPerSecond, meters),
		Instances: fleet.NewClient(platform.List, transport()),
	}, nil
}

// supervise runs a process until ctx ends, then drains it. If a part fails it returns the error without draining.
func supervise(ctx context.Context, log *zap.Logger, start func(*tree.Supervisor) error, drain func(context.Context)) error {
	t, closeTree := tree.New(context.WithoutCancel(ctx), log)
	defer closeTree()
	if err := start(t); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		log.Info("draining")
		drain(context.WithoutCancel(ctx))
		log.Info("drained")
		return nil
	case failed := <-t.Failures():
		return failed
	}
}
