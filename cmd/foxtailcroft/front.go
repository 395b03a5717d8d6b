package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/logs"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/node/front"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/platform"
)

const (
	// logBuffer is how many log lines wait for a slow reader before lines are dropped.
	logBuffer = 4096
	// memoryShare is the part of the memory limit at which the collector works harder, in percent.
	memoryShare = 60
)

func frontCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "front",
		Short: "Run an entry on the platform named by " + platform.SettingsVariable,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			return runFront(cmd.Context(), set)
		},
	}
}

func runFront(ctx context.Context, set conf.Front) error {
	// A change of the settings file asks for nothing: what it may change is read from the store.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	if set.MemoryBytes > 0 {
		debug.SetMemoryLimit(set.MemoryBytes * memoryShare / 100)
	}
	out, closeOut := logs.NewBounded(os.Stdout, logBuffer)
	defer closeOut()
	log, err := logs.NewSplit(out, "info", set.Node.Name)
	if err != nil {
		return eris.Wrap(err, "logger")
	}
	listeners, err := listen(ctx, set.Listen)
	if err != nil {
		return err
	}
	meters := metrics.NewSet()
	meters.NewGauge(`foxtailcroft_log_lines_dropped{kind="failures"}`, func() float64 {
		urgent, _ := out.Dropped()
		return float64(urgent)
	})
	meters.NewGauge(`foxtailcroft_log_lines_dropped{kind="routine"}`, func() float64 {
		_, routine := out.Dropped()
		return float64(routine)
	})
	f, closeFront := front.New(front.Options{
		Settings: set, Dialect: platform.Dialect{}, Dial: conns.TCP, ReadyPath: platform.ReadyPath, Meters: meters, Log: log,
		Store: platform.NewStore(set.Store, &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return conns.TCP(ctx, address)
		}}, meters),
		Layout: follow.Layout{
			DocumentKey: platform.ConfigKey, InstancePrefix: platform.ServerPrefix,
			Prefixes: []string{platform.OperatorPrefix, platform.ServerPrefix, follow.OwnPrefix},
		},
	})
	log.Info("starting")
	return supervise(ctx, log, func(t *tree.Tree) error {
		t.OnClose(closeFront)
		f.Start(t, listeners)
		return nil
	}, f.Drain)
}

// listen opens a front's listeners.
func listen(ctx context.Context, l conf.FrontListen) (front.Listeners, error) {
	var out front.Listeners
	config := net.ListenConfig{KeepAliveConfig: conns.KeepAlive, Control: conns.Control}
	for _, x := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"callers", l.Callers, &out.Callers}, {"ready", l.Ready, &out.Ready}, {"peers", l.Peers, &out.Peers}, {"metrics", l.Metrics, &out.Metrics},
	} {
		if x.address == "" {
			continue
		}
		lis, err := config.Listen(ctx, "tcp4", x.address)
		if err != nil {
			return out, eris.Wrapf(err, "listener for %s", x.name)
		}
		*x.to = lis
	}
	return out, nil
}
