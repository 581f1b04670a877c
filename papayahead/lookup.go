package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// maxLookUpAnswer is the maximum number of bytes printed of an answer.
const maxLookUpAnswer = 1 << 20

func lookUpCommand() *cli.Command {
	return &cli.Command{
		Name:      "look-up",
		Usage:     "ask an entry VM which entry VMs a caller should use",
		ArgsUsage: "CALLERS-ADDRESS SERVICE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "caller", Usage: "address of the caller to ask for; by default the address that the request comes from"},
		},
		Action: printLookUp,
	}
}

func printLookUp(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 2 {
		return trace.BadParameter("look-up: requires an entry VM's address for callers and a service, such as 127.0.0.1:8001 deposits")
	}
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.Args().Get(0), Path: "/LookUp/" + c.Args().Get(1)}
	if a := c.String("caller"); a != "" {
		u.RawQuery = url.Values{"Caller": {a}}.Encode()
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return trace.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return trace.Wrap(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(r.Body, maxLookUpAnswer))
		return trace.BadParameter("look-up: HTTP status %s: %s", r.Status, b)
	}
	if _, err := io.Copy(os.Stdout, io.LimitReader(r.Body, maxLookUpAnswer)); err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Println()
	return trace.Wrap(err)
}
