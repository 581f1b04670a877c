package main

import (
	"context"
	"math"
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
		Name:  "entry",
		Usage: "run the daemon of an entry VM",
		Flags: pasetting.Flags(settings),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runEntry(ctx, pasetting.FlagValues(c, settings))
		},
	}
}

// runEntry runs the entry daemon until a signal shuts it down. Invalid settings are recorded as an event,
// so that they also reach the log, and returned.
func runEntry(ctx context.Context, values map[string]string) error {
	clock := clockwork.NewRealClock()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	set, err := pasetting.ParseEntry(values)
	if err != nil {
		refused := paevent.NewRecorder(paevent.RecorderConfig{Process: values["name"], Log: log, Clock: clock, RingSize: 1})
		refused.Record(paevent.SettingsRefused{Fault: err.Error()})
		return err
	}
	if set.MaxMemory == 0 {
		set.MaxMemory = int64(min(memoryOfVM(), math.MaxInt64))
	}
	onReceived := limitHeap(set.MaxMemory)
	name := string(set.Name)
	seed := uint64(clock.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, uint64(os.Getpid())))
	network := &paentry.TCP{LocalAddr: set.DialFrom}
	transport := &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: maxIdlePlatformConns, MaxResponseHeaderBytes: maxStoreHeader}
	store := &platform.StoreClient{
		BaseURL: set.Store.String(), Caller: paplatform.Caller(name), Clock: clock, Transport: transport,
		Random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
	}
	d, err := paentry.New(paentry.Config{
		Settings: set, Version: Version, Incarnation: pamember.Incarnation(clock.Now().UnixMilli()),
		Clock: clock, Random: random, Network: network,
		OnReceived: onReceived,
		Store:      store, VMList: &paplatform.VMListClient{Base: set.Machines.String(), Transport: transport},
		Recorder: paevent.NewRecorder(paevent.RecorderConfig{
			Process: name, Clock: clock, Log: log.Level(set.LogLevel).With().Str("Process", name).Logger(),
		}),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	soft, hard, release := shutdownContexts(ctx)
	defer release()
	return trace.Wrap(d.Run(soft, hard))
}

// maxIdlePlatformConns is the number of idle connections to the platform to keep: one for a long-polling
// watch and one for other calls.
const maxIdlePlatformConns = 2

// shutdownContexts returns two contexts: the first SIGTERM or SIGINT cancels soft, which starts a graceful
// shutdown; the second cancels hard, which aborts requests still in flight. release stops the signal handling.
func shutdownContexts(ctx context.Context) (soft, hard context.Context, release func()) {
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
