package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

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
			file := os.Getenv(platform.SettingsVariable)
			set, err := platform.ReadSettings(file)
			if err != nil {
				return err
			}
			return runFront(cmd.Context(), file, set)
		},
	}
}

func runFront(ctx context.Context, file string, set conf.Front) error {
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
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
		Settings: set, Dialect: platform.Dialect{}, Dial: conns.TCP, DialPeers: conns.TCP, ReadyPath: platform.ReadyPath, Meters: meters, Log: log,
		Store: platform.NewStore(set.Store, &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return conns.TCP(ctx, address)
		}}, min(set.Bounds.InForce, set.Bounds.Contact*2/3), meters),
		Layout: follow.Layout{
			DocumentKey: platform.ConfigKey, InstancePrefix: platform.ServerPrefix,
			Prefixes: []string{platform.OperatorPrefix, platform.ServerPrefix, follow.OwnPrefix},
		},
	})
	log.Info("starting")
	return supervise(ctx, log, func(t *tree.Tree) error {
		t.OnClose(closeFront)
		f.Start(t, listeners)
		t.Keep("Reload", func(ctx context.Context) { reread(ctx, reload, file, set, log) })
		return nil
	}, f.Drain)
}

// reread reads the settings again at each signal and says what became of it:
// settings are in force from a process' start, as addresses and bounds do not change while it runs.
func reread(ctx context.Context, signals <-chan os.Signal, file string, set conf.Front, log *zap.Logger) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings(file)
		if err != nil {
			log.Error("settings cannot be read again, the old ones stay in force", zap.Error(err))
			continue
		}
		log.Info("settings read again", zap.Bool("RestartNeeded", !reflect.DeepEqual(next, set)))
	}
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
