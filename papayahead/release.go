package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"storj.io/drpc/drpcconn"

	"papayahead/paquarantine"
	"papayahead/pawire"
)

// releaseTimeout bounds the call to an entry VM.
const releaseTimeout = 3 * time.Second

func releaseCommand() *cli.Command {
	return &cli.Command{
		Name:      "release",
		Usage:     "have all entry VMs send a request to targets again that is refused because targets ended under it",
		ArgsUsage: "NEIGHBOURS-ADDRESS RESOURCE",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.NArg() != 2 {
				return trace.BadParameter("release: requires an entry VM's address for neighbours and the Resource of an event 8023 RequestHeld, " +
					"such as 10.1.0.15:8649 32967e54ac933733")
			}
			return release(ctx, c.Args().Get(0), c.Args().Get(1))
		},
	}
}

// release tells one entry VM, which tells the others.
func release(ctx context.Context, address, name string) error {
	resource, err := paquarantine.ParseResource(name)
	if err != nil {
		return trace.BadParameter("release: %q is no Resource, which has up to 16 hexadecimal digits", name)
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	// Closing raw ends the connection; a failure to do so changes nothing for a command that ends.
	defer raw.Close()
	r, err := pawire.NewDRPCSyncingClient(drpcconn.New(raw)).Release(ctx, &pawire.ReleaseRequest{Resource: uint64(resource)})
	if err != nil {
		return trace.Wrap(err, "release at %s", address)
	}
	if r.GetRequests() == 0 {
		return trace.NotFound("release: %s knows of no target that ended under %s", address, resource)
	}
	fmt.Printf("released %d\n", r.GetRequests())
	return nil
}
