package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"papayahead/paentry"
	"papayahead/paevent"
	"papayahead/pamember"
	"papayahead/paplatform"
	"papayahead/pasetting"
	"papayahead/platform"
)

func entryCommand() *cli.Command {
	settings := pasetting.EntrySettings()
	return &cli.Command{
		Name:   "entry",
		Usage:  "run the daemon of an entry VM",
		Flags:  pasetting.Flags(settings),
		Action: func(ctx context.Context, c *cli.Command) error { return runEntry(ctx, pasetting.FlagValues(c, settings)) },
	}
}

func runEntry(ctx context.Context, given map[string]string) error {
	clock := clockwork.NewRealClock()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	set, err := pasetting.ParseEntry(given)
	if err != nil {
		refused := paevent.NewRecorder(paevent.RecorderConfig{Process: given["name"], Log: log, Clock: clock, Ring: 1})
		refused.Record(paevent.SettingsRefused{Fault: err.Error()})
		return err
	}
	name := string(set.Name)
	seed := uint64(clock.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, uint64(os.Getpid())))
	network := &paentry.TCP{LocalAddr: set.DialFrom}
	transport := &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: platformConnections}
	store := &platform.StoreClient{
		BaseURL: set.Store.String(), Caller: paplatform.Caller(name), Clock: clock, Transport: transport,
		Random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
	}
	d, err := paentry.New(paentry.Config{
		Settings: set, Version: Version, Incarnation: pamember.Incarnation(clock.Now().UnixMilli()),
		Clock: clock, Random: random, Network: network,
		Store: store, VMList: &paplatform.VMListClient{Base: set.Machines.String(), Transport: transport},
		Recorder: paevent.NewRecorder(paevent.RecorderConfig{
			Process: name, Clock: clock, Log: log.Level(set.LogLevel).With().Str("Process", name).Logger(),
		}),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	soft, hard, release := signals(ctx)
	defer release()
	return trace.Wrap(d.Run(soft, hard))
}

// platformConnections is how many idle connections to the platform are kept: a waiting watch and
// another call.
const platformConnections = 2

// signals returns a context that the first SIGTERM or SIGINT ends, for a graceful shutdown, and one
// that the second ends, for giving up what still runs.
func signals(ctx context.Context) (soft, hard context.Context, release func()) {
	soft, endSoft := context.WithCancel(ctx)
	hard, endHard := context.WithCancel(ctx)
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan struct{})
	go func() {
		defer endHard()
		defer endSoft()
		for _, end := range []context.CancelFunc{endSoft, endHard} {
			select {
			case <-c:
				end()
			case <-ended:
				return
			}
		}
	}()
	return soft, hard, func() {
		signal.Stop(c)
		close(ended)
	}
}
