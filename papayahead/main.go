package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"papayahead/paoperator"
	"papayahead/paplatform"
	"papayahead/platform"
)

// Version is the version that the daemons report.
const Version = "0.1.0"

func main() {
	clock := clockwork.NewRealClock()
	bundles := &paoperator.Commands{
		Clock:  clock,
		Random: rand.New(rand.NewPCG(uint64(clock.Now().UnixNano()), uint64(os.Getpid()))),
		Output: os.Stdout,
	}
	bundles.Open = func(address string, caller paplatform.Caller) paplatform.Store {
		return &platform.StoreClient{BaseURL: address, Caller: caller, Clock: clock, Random: bundles.Random}
	}
	root := &cli.Command{
		Name:           "papayahead",
		Usage:          "global traffic steering",
		Version:        Version,
		Commands:       []*cli.Command{entryCommand(), gateCommand(), checkCommand(), bundles.Command(), timelineCommand(), lookUpCommand(), releaseCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// exitFailure is the exit code for errors that do not define one.
const exitFailure = 1

// exitCode returns the process exit code for an error.
func exitCode(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitFailure
}
