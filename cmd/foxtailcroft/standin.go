package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
)

func standinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for a component of the platform"}
	cmd.AddCommand(
		standinSubcommand("platform", "Run the stand-in key-value service and instance list", standinPlatform),
		standinSubcommand("engine", "Run a stand-in model engine", standinEngine),
		standinSubcommand("service", "Run a stand-in plain service", standinService),
	)
	return cmd
}

// standinSubcommand returns the command that serves one stand-in. Function build reads the settings file and
// returns the handler and the listen address.
func standinSubcommand(use, short string, build func(file string) (http.Handler, string, error)) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: use + " --config FILE", Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h, address, err := build(file)
			if err != nil {
				return err
			}
			return serveHTTP(cmd.Context(), h, address)
		},
	}
	configFlag(cmd, &file)
	return cmd
}

func standinPlatform(file string) (http.Handler, string, error) {
	var settings conf.StandinPlatform
	if err := conf.ReadFile(file, &settings); err != nil {
		return nil, "", err
	}
	var list []fleet.Instance
	for _, i := range settings.Instances {
		list = append(list, fleet.Instance{Name: i.Name, Role: i.Role, Address: i.Address, Region: i.Region, Domain: i.Domain})
	}
	return kvsim.NewPlatform(settings.Seed, settings.ListLag.Std(), list).Handler(), settings.Listen, nil
}

func standinEngine(file string) (http.Handler, string, error) {
	var settings conf.StandinEngine
	if err := conf.ReadFile(file, &settings); err != nil {
		return nil, "", err
	}
	m := engsim.New(engsim.Settings{
		MemoryBytes: settings.MemoryBytes, CheckFence: settings.ChecksFence, LoadTime: settings.LoadTime.Std(), AdapterTime: settings.AdapterTime.Std(),
		UnloadTime: settings.UnloadTime.Std(), TimeToFirstToken: settings.FirstToken.Std(), InterTokenLatency: settings.TokenTime.Std(), MaxReportAge: settings.ReportLag.Std(),
	})
	return m.Handler(), settings.Listen, nil
}

func standinService(file string) (http.Handler, string, error) {
	var settings conf.StandinService
	if err := conf.ReadFile(file, &settings); err != nil {
		return nil, "", err
	}
	return svcsim.New(settings.Name, svcsim.NewRunLog()).Handler(), settings.Listen, nil
}

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

// serveHTTP serves HTTP on address until the context ends.
func serveHTTP(ctx context.Context, h http.Handler, address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listener")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		// The process exits next, so an error in closing does not matter.
		_ = server.Close()
	})
	defer stop()
	if err := server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "server")
	}
	return nil
}
