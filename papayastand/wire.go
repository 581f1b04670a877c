package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"papayahead/pastand"
)

func wireCommand() *cli.Command {
	return &cli.Command{
		Name:  "wire",
		Usage: "run a stand-in for the network: delays, cuts, silent connections, use of links",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "file with the routes, places and delays", Required: true},
			&cli.StringFlag{Name: "control", Usage: "IP:PORT for cuts, silences and the use of links", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runWire(ctx, c.String("config"), c.String("control"))
		},
	}
}

func runWire(ctx context.Context, file, control string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	w := &pastand.Wire{Clock: clockwork.NewRealClock()}
	if err := json.Unmarshal(data, &w.Config); err != nil {
		return trace.BadParameter("%s: want a wire's configuration as JSON: %v", file, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		failed <- w.Serve(ctx)
		cancel()
	}()
	h := recorded(newRecorder("wire"), w, "/Cuts", "/Silences", "/Hosts")
	if err := serveUntil(ctx, control, h); err != nil {
		return err
	}
	return <-failed
}
