package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"papayahead/paevent"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// command returns the command line.
func command() *cli.Command {
	return &cli.Command{
		Name:           "papayastand",
		Usage:          "stand-ins for the platform, targets and callers",
		Commands:       []*cli.Command{targetCommand(), platformCommand(), wireCommand(), callersCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// newRecorder returns a recorder that logs to the standard error.
func newRecorder(process string) *paevent.Recorder {
	return paevent.NewRecorder(paevent.RecorderConfig{
		Process: process, Clock: clockwork.NewRealClock(),
		Log: zerolog.New(os.Stderr).With().Timestamp().Str("Process", process).Logger(),
	})
}

// Exit codes.
const (
	exitFault   = 1
	exitPromise = 3
)

// errPromise says that the callers saw a broken promise.
var errPromise = errors.New("a promise was broken; see the report")

func exitCode(err error) int {
	if errors.Is(err, errPromise) {
		return exitPromise
	}
	return exitFault
}
