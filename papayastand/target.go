package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"papayahead/pabundle"
	"papayahead/pastand"
)

// stopTime bounds how long a stopping target waits for what still runs.
const stopTime = 30 * time.Second

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run one target, or those of a bundle (of one zone, or all)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Value: "target", Usage: "the target's name"},
			&cli.StringFlag{Name: "service", Usage: "the service it runs"},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "IP and port to listen on"},
			&cli.IntFlag{Name: "slots", Value: 3, Usage: "requests that run at once"},
			&cli.IntFlag{Name: "queue", Usage: "requests that wait for a slot before more are shed"},
			&cli.IntFlag{Name: "max-connections", Value: 330, Usage: "connections accepted at once"},
			&cli.DurationFlag{Name: "run-time", Value: 10 * time.Millisecond, Usage: "mean run time; with a bundle, the service's TypicalRun goes before it"},
			&cli.FloatFlag{Name: "spread", Value: 0.3, Usage: "standard deviation of the run time's logarithm"},
			&cli.FloatFlag{Name: "cold-factor", Value: 1, Usage: "multiplier of the first run times"},
			&cli.IntFlag{Name: "cold-runs", Usage: "executions until the target is warm"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age of what /Health and /Load say"},
			&cli.StringFlag{Name: "bundle", Usage: "file of a bundle whose targets to run"},
			&cli.StringFlag{Name: "zone", Usage: "run only this zone's targets of the bundle"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the run times"},
		},
		Action: runTargets,
	}
}

// served is a target with its listener.
type served struct {
	target   *pastand.Target
	listener net.Listener
}

func runTargets(ctx context.Context, c *cli.Command) error {
	all, err := openTargets(c)
	if err != nil {
		return trace.Wrap(err)
	}
	var servers []*http.Server
	failed := make(chan error, len(all))
	for _, s := range all {
		srv := s.target.Server()
		servers = append(servers, srv)
		go func() { failed <- srv.Serve(s.target.Limit(s.listener)) }()
		fmt.Printf("target %s serves %s on %s\n", s.target.Name, s.target.Service, s.listener.Addr())
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	for _, srv := range servers {
		err = errors.Join(err, srv.Shutdown(stopCtx))
	}
	return trace.Wrap(err)
}

// openTargets listens for every target asked for, or for none.
func openTargets(c *cli.Command) ([]served, error) {
	described, err := describeTargets(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var all []served
	for i, d := range described {
		l, err := net.Listen("tcp", d.address)
		if err != nil {
			for _, s := range all {
				s.listener.Close()
			}
			return nil, trace.Wrap(err, "target %s", d.target.Name)
		}
		d.target.Random = rand.New(rand.NewPCG(c.Uint64("seed"), uint64(i)))
		all = append(all, served{target: d.target, listener: l})
	}
	return all, nil
}

// described is a target and where it listens.
type described struct {
	target  *pastand.Target
	address string
}

func describeTargets(c *cli.Command) ([]described, error) {
	run := pastand.RunTime{Mean: c.Duration("run-time"), Spread: c.Float("spread")}
	recorder := newRecorder("targets " + c.String("zone"))
	plain := func() *pastand.Target {
		return &pastand.Target{
			Name: c.String("name"), Service: c.String("service"),
			Slots: c.Int("slots"), Queue: c.Int("queue"), MaxConnections: c.Int("max-connections"),
			RunTimes:  map[string]pastand.RunTime{"": run},
			Cold:      pastand.ColdStart{Factor: c.Float("cold-factor"), Runs: c.Int("cold-runs")},
			ReportLag: c.Duration("report-lag"), Clock: clockwork.NewRealClock(), Recorder: recorder,
		}
	}
	if c.String("bundle") == "" {
		return []described{{target: plain(), address: c.String("address")}}, nil
	}
	data, err := os.ReadFile(c.String("bundle"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var b pabundle.Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, trace.Wrap(err, "bundle %s", c.String("bundle"))
	}
	return describeBundle(b, pabundle.ZoneName(c.String("zone")), plain)
}

func describeBundle(b pabundle.Bundle, zone pabundle.ZoneName, plain func() *pastand.Target) ([]described, error) {
	var all []described
	for _, s := range b.Services {
		for _, g := range s.Targets {
			if zone != "" && g.Zone != zone {
				continue
			}
			t := plain()
			t.Name, t.Service = string(g.Name), string(s.Name)
			t.Slots, t.MaxConnections = g.Slots, g.MaxConnections
			if s.TypicalRun.Duration > 0 {
				t.RunTimes[""] = pastand.RunTime{Mean: s.TypicalRun.Duration, Spread: t.RunTimes[""].Spread}
			}
			all = append(all, described{target: t, address: g.Address.String()})
		}
	}
	if len(all) == 0 {
		return nil, trace.NotFound("the bundle has no targets in zone %q", zone)
	}
	return all, nil
}
