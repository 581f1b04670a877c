package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/pastand"
)

// Bounds of the callers' process: idle connections to one entry VM, bytes of a target's log, and the
// time to read it.
const (
	maxIdleConnections = 256
	maxLogBytes        = 256 << 20
	logTime            = 10 * time.Second
)

func callersCommand() *cli.Command {
	return &cli.Command{
		Name:  "callers",
		Usage: "offer an open-loop load and report what callers saw; exit code 3 is a broken promise",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "IP:PORT of an entry VM to ask for look-ups, in order", Required: true},
			&cli.StringFlag{Name: "load", Usage: "file with the loads, a JSON list; goes before the flags below"},
			&cli.StringFlag{Name: "bundle", Usage: "file of a bundle: its services are asked, callers' addresses are in its blocks, its targets' logs are checked"},
			&cli.StringSliceFlag{Name: "post", Usage: "service whose requests are keyed and not idempotent"},
			&cli.FloatFlag{Name: "rate", Value: 50, Usage: "requests a second over all services"},
			&cli.Int64Flag{Name: "size", Value: 4096, Usage: "bytes of an answer"},
			&cli.FloatFlag{Name: "repeat", Usage: "share of keyed requests sent twice at once"},
			&cli.DurationFlag{Name: "deadline", Value: 2 * time.Second, Usage: "time within which an answer is wanted"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long requests are started"},
			&cli.IntFlag{Name: "callers", Value: 30, Usage: "number of callers, each with its own cache of look-ups"},
			&cli.StringFlag{Name: "from", Usage: "IP that all callers come from, which says their region; default: the blocks of the bundle in turn"},
			&cli.StringFlag{Name: "name", Value: "callers", Usage: "beginning of all identities"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the starts"},
			&cli.StringFlag{Name: "operators", Usage: "IP:PORT to serve the time line on while it runs"},
			&cli.StringFlag{Name: "report", Usage: "file for the report, instead of the standard output"},
		},
		Action: runCallers,
	}
}

func runCallers(ctx context.Context, c *cli.Command) error {
	var b pabundle.Bundle
	if err := readJSON(c.String("bundle"), &b); err != nil {
		return trace.Wrap(err)
	}
	loads, err := loadsOf(c, b)
	if err != nil {
		return trace.Wrap(err)
	}
	addresses, dial, err := originOf(c.String("from"), b, c.Int("callers"))
	if err != nil {
		return trace.Wrap(err)
	}
	transport := &http.Transport{DialContext: dial.DialContext, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	recorder := newRecorder("callers " + c.String("name"))
	callers := &pastand.Callers{
		Entries: c.StringSlice("entry"), Addresses: addresses, Loads: loads,
		Duration: c.Duration("duration"), Name: c.String("name"), Clock: clockwork.NewRealClock(),
		Random: rand.New(rand.NewPCG(c.Uint64("seed"), 0)), Transport: transport, Recorder: recorder,
	}
	recorder.Record(paevent.Started{Role: "callers"})
	if a := c.String("operators"); a != "" {
		served, stop := context.WithCancel(ctx)
		defer stop()
		go func() {
			if err := serveUntil(served, a, recorder); err != nil {
				fmt.Fprintln(os.Stderr, "callers: no time line:", err)
			}
		}()
	}
	report := callers.Run(ctx)
	executions, err := executionsOf(context.WithoutCancel(ctx), transport, b)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(b.Services) > 0 {
		report.Check(executions)
	}
	t := report.Total
	recorder.Record(paevent.CallersDone{
		Name: c.String("name"), Offered: t.Offered, Answered: t.Answered, Refused: t.Refused,
		Unknown: t.Unknown, Lost: t.Lost, Cut: t.CutOff,
	})
	if err := writeReport(c.String("report"), report); err != nil {
		return trace.Wrap(err)
	}
	if report.Broken() {
		return errPromise
	}
	return nil
}

// readJSON reads a file; no name leaves the value as it is.
func readJSON(name string, into any) error {
	if name == "" {
		return nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(data, into), "%s", name)
}

// loadsOf returns the loads of the file, or one for each service of the bundle.
func loadsOf(c *cli.Command, b pabundle.Bundle) ([]pastand.Load, error) {
	var loads []pastand.Load
	if c.String("load") != "" {
		return loads, trace.Wrap(readJSON(c.String("load"), &loads))
	}
	if len(b.Services) == 0 {
		return nil, trace.BadParameter("callers: want --load or a --bundle with services")
	}
	for _, s := range b.Services {
		l := pastand.Load{
			Service: string(s.Name), Rate: c.Float("rate") / float64(len(b.Services)), Size: c.Int64("size"),
			Deadline: pabundle.Duration{Duration: c.Duration("deadline")},
		}
		if slices.Contains(c.StringSlice("post"), l.Service) {
			l.Method, l.Upload, l.Repeat = http.MethodPost, 1, c.Float("repeat")
		}
		loads = append(loads, l)
	}
	return loads, nil
}

// originOf returns the callers' addresses and the dialer that connects from there.
func originOf(from string, b pabundle.Bundle, callers int) ([]netip.Addr, *net.Dialer, error) {
	if from == "" {
		return addressesOf(b, callers), &net.Dialer{}, nil
	}
	a, err := netip.ParseAddr(from)
	if err != nil {
		return nil, nil, trace.BadParameter("--from %q: want an IP", from)
	}
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0))
	return slices.Repeat([]netip.Addr{a}, callers), &net.Dialer{LocalAddr: local}, nil
}

// addressesOf returns callers' addresses, spread over the bundle's client blocks.
func addressesOf(b pabundle.Bundle, n int) []netip.Addr {
	if len(b.ClientBlocks) == 0 {
		return nil
	}
	var all []netip.Addr
	for i := range n {
		block := b.ClientBlocks[i%len(b.ClientBlocks)].Prefix
		a := block.Addr()
		for range i/len(b.ClientBlocks) + 1 {
			a = a.Next()
		}
		if block.Contains(a) {
			all = append(all, a)
		}
	}
	return all
}

// executionsOf reads the logs of all targets of the bundle: an oracle with a gap would prove nothing.
func executionsOf(ctx context.Context, t http.RoundTripper, b pabundle.Bundle) ([]pastand.Execution, error) {
	ctx, cancel := context.WithTimeout(ctx, logTime)
	defer cancel()
	var all []pastand.Execution
	for _, s := range b.Services {
		for _, g := range s.Targets {
			q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Address.String()+"/Executions", nil)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			r, err := t.RoundTrip(q)
			if err != nil {
				return nil, trace.Wrap(err, "log of target %s", g.Name)
			}
			var some []pastand.Execution
			err = json.NewDecoder(io.LimitReader(r.Body, maxLogBytes)).Decode(&some)
			r.Body.Close()
			if err != nil {
				return nil, trace.Wrap(err, "log of target %s", g.Name)
			}
			all = append(all, some...)
		}
	}
	return all, nil
}

// writeReport writes the report to the file, or to the standard output.
func writeReport(name string, r pastand.Report) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	data = append(data, '\n')
	if name == "" {
		_, err = os.Stdout.Write(data)
		return trace.Wrap(err)
	}
	const readable = 0o644
	return trace.Wrap(os.WriteFile(name, data, readable))
}
