package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"papayahead/paevent"
)

const (
	// timelineTimeout limits each request, so that a hung process does not block the output of the others.
	timelineTimeout = 3 * time.Second
	// maxRecords limits the records read from one process, in case its response never ends.
	maxRecords = 1 << 20
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:      "timeline",
		Usage:     "print the events of all processes in causal order",
		ArgsUsage: "OPERATORS-ADDRESS...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.StringFlag{Name: "service", Usage: "only events of this service"},
			&cli.Uint64Flag{Name: "sequence", Usage: "only events of this roll-out"},
			&cli.StringFlag{Name: "process", Usage: "only events of this process"},
			&cli.TimestampFlag{Name: "from", Usage: "only events from this time on (RFC 3339)",
				Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}},
			&cli.TimestampFlag{Name: "to", Usage: "only events before this time (RFC 3339)",
				Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}},
			&cli.StringSliceFlag{Name: "log", Usage: "file with logs of processes, or - for standard input, in place of addresses"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON lines instead of text"},
		},
		Action: printTimeline,
	}
}

// printTimeline merges and prints the records of processes and log files. If a process did not answer, it
// prints the others and returns an error.
func printTimeline(ctx context.Context, c *cli.Command) error {
	logs := c.StringSlice("log")
	if c.NArg() == 0 && len(logs) == 0 {
		return trace.BadParameter("timeline: requires the operators' addresses of the processes, such as 127.0.0.1:8003, or --log FILE")
	}
	filter := paevent.Filter{
		Request: c.String("request"), Service: c.String("service"), Sequence: c.Uint64("sequence"),
		Process: c.String("process"), From: c.Timestamp("from"), To: c.Timestamp("to"),
	}
	processes, missing := collectRecords(ctx, c.Args().Slice())
	for _, name := range logs {
		records, err := readLog(name)
		if err != nil {
			return trace.Wrap(err)
		}
		processes = append(processes, records)
	}
	records := paevent.Merge(filter, processes...)
	write := paevent.WriteText
	if c.Bool("json") {
		write = paevent.WriteJSON
	}
	if err := write(os.Stdout, records); err != nil {
		return trace.Wrap(err)
	}
	for _, m := range missing {
		fmt.Fprintln(os.Stderr, "timeline: missing:", m)
	}
	if len(missing) > 0 {
		return trace.ConnectionProblem(nil, "timeline is partial: %d of %d processes did not answer", len(missing), c.NArg())
	}
	return nil
}

// readLog reads the records of a log file, or of standard input for "-".
func readLog(name string) ([]paevent.Record, error) {
	f := os.Stdin
	if name != "-" {
		var err error
		if f, err = os.Open(name); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		defer f.Close()
	}
	records, skipped, err := paevent.ReadLog(f)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "timeline: %s: skipped %d lines that are not events\n", name, skipped)
	}
	return records, trace.Wrap(err)
}

// collectRecords fetches the records of all processes concurrently. missing has the address and error of
// each process that failed.
func collectRecords(ctx context.Context, addresses []string) (processes [][]paevent.Record, missing []string) {
	type response struct {
		address string
		records []paevent.Record
		err     error
	}
	responses := make(chan response, len(addresses))
	for _, a := range addresses {
		go func() {
			records, err := fetchRecords(ctx, a)
			responses <- response{address: a, records: records, err: err}
		}()
	}
	for range addresses {
		r := <-responses
		if r.err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", r.address, r.err))
		}
		processes = append(processes, r.records)
	}
	return processes, missing
}

func fetchRecords(ctx context.Context, address string) ([]paevent.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+paevent.TimelinePath, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("HTTP status %s", r.Status)
	}
	return paevent.ReadRecords(r.Body, maxRecords)
}
