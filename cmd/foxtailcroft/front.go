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
	// watchWindowDivisor divides the time in which a front must learn of changes, so that a
	// watch that returns without any tells the fronts that follow this one soon enough.
	watchWindowDivisor = 2
	// logBufferLines bounds the log lines that are buffered for a slow reader; further lines are dropped.
	logBufferLines = 4096
	// softMemoryLimitPercent is the share of the process's memory limit that the Go runtime gets as its soft
	// limit, at which garbage is collected more often.
	softMemoryLimitPercent = 60
)

func frontCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "front",
		Short: "Run a front with the settings file named by " + platform.SettingsVariable,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			file := os.Getenv(platform.SettingsVariable)
			settings, err := platform.ReadSettings(file)
			if err != nil {
				return err
			}
			return runFront(cmd.Context(), file, settings)
		},
	}
}

func runFront(ctx context.Context, file string, settings conf.Front) error {
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.MemoryBytes * softMemoryLimitPercent / 100)
	}
	out, closeOut := logs.NewAsyncWriter(os.Stdout, logBufferLines)
	defer closeOut()
	log, err := logs.NewAsync(out, "info", settings.Node.Name)
	if err != nil {
		return eris.Wrap(err, "logger")
	}
	listeners, err := openListeners(ctx, settings.Listen)
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
		Settings: settings, Dialect: platform.Dialect{}, DialInstance: conns.DialTCP, DialPeer: conns.DialTCP, ReadyPath: platform.ReadyPath, Metrics: meters, Log: log,
		Store: platform.NewStore(settings.Store, &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return conns.DialTCP(ctx, address)
		}}, min(settings.Bounds.InForce, settings.Bounds.Contact*2/3)/watchWindowDivisor, meters),
		StoreLayout: follow.Layout{
			DocumentKey: platform.DocumentKey, InstancePrefix: platform.ServerPrefix,
			Prefixes: []string{platform.OperatorPrefix, platform.ServerPrefix, follow.SystemPrefix},
		},
	})
	log.Info("starting")
	return supervise(ctx, log, func(t *tree.Supervisor) error {
		t.OnClose(closeFront)
		f.Start(t, listeners)
		t.KeepRunning("Reload", func(ctx context.Context) { recheckSettings(ctx, reload, file, settings, log) })
		return nil
	}, f.Drain)
}

// recheckSettings reads and validates the settings file at each signal and logs whether a restart is needed.
// It never applies new settings, because addresses and bounds do not change while the process runs.
func recheckSettings(ctx context.Context, signals <-chan os.Signal, file string, settings conf.Front, log *zap.Logger) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings(file)
		if err != nil {
			log.Error("reading settings on signal failed; keeping the current ones", zap.Error(err))
			continue
		}
		log.Info("settings read on signal; changes take effect after a restart", zap.Bool("RestartNeeded", !reflect.DeepEqual(next, settings)))
	}
}

// openListeners opens the listeners of a front that have an address.
func openListeners(ctx context.Context, l conf.FrontListen) (front.Listeners, error) {
	var out front.Listeners
	config := net.ListenConfig{KeepAliveConfig: conns.KeepAlive, Control: conns.SetUserTimeout}
	for _, spec := range []struct {
		name, address string
		dest          *net.Listener
	}{
		{"callers", l.Callers, &out.Callers}, {"ready", l.Ready, &out.Ready}, {"peers", l.Peers, &out.Peers}, {"metrics", l.Metrics, &out.Metrics},
	} {
		if spec.address == "" {
			continue
		}
		lis, err := config.Listen(ctx, "tcp4", spec.address)
		if err != nil {
			return out, eris.Wrapf(err, "listener for %s", spec.name)
		}
		*spec.dest = lis
	}
	return out, nil
}
