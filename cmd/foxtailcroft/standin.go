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
	"foxtailcroft/internal/standin/motor"
	"foxtailcroft/internal/standin/platf"
	"foxtailcroft/internal/standin/shop"
)

func standinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for a part that the platform gives"}
	cmd.AddCommand(
		standinPart("platform", "Run the stand-in key-value service and instance list", standinPlatform),
		standinPart("engine", "Run a stand-in model engine", standinEngine),
		standinPart("service", "Run a stand-in plain service", standinService),
	)
	return cmd
}

// standinPart returns the command that serves one stand-in; build reads its settings file.
func standinPart(use, short string, build func(file string) (http.Handler, string, error)) *cobra.Command {
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
	var set conf.StandinPlatform
	if err := conf.Read(file, &set); err != nil {
		return nil, "", err
	}
	var list []fleet.Instance
	for _, i := range set.Instances {
		list = append(list, fleet.Instance{Name: i.Name, Role: i.Role, Address: i.Address, Region: i.Region, Domain: i.Domain})
	}
	return platf.NewPlatform(set.Seed, set.ListLag.Std(), list).Handler(), set.Listen, nil
}

func standinEngine(file string) (http.Handler, string, error) {
	var set conf.StandinEngine
	if err := conf.Read(file, &set); err != nil {
		return nil, "", err
	}
	m := motor.New(motor.Settings{
		MemoryBytes: set.MemoryBytes, CheckFence: set.ChecksFence, LoadTime: set.LoadTime.Std(), AdapterTime: set.AdapterTime.Std(),
		UnloadTime: set.UnloadTime.Std(), FirstToken: set.FirstToken.Std(), TokenTime: set.TokenTime.Std(), ReportLag: set.ReportLag.Std(),
	})
	return m.Handler(), set.Listen, nil
}

func standinService(file string) (http.Handler, string, error) {
	var set conf.StandinService
	if err := conf.Read(file, &set); err != nil {
		return nil, "", err
	}
	return shop.New(set.Name, shop.NewBook()).Handler(), set.Listen, nil
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// serveHTTP serves until the context ends.
func serveHTTP(ctx context.Context, h http.Handler, address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listener")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		// The process ends with its server.
		_ = server.Close()
	})
	defer stop()
	if err := server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "server")
	}
	return nil
}
