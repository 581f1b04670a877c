package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"papayahead/pabundle"
	"papayahead/paplatform"
	"papayahead/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform's key-value service and VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "IP:PORT to listen on", Required: true},
			&cli.StringFlag{Name: "machines", Usage: "file with the VMs at the start, a JSON list"},
			&cli.StringFlag{Name: "bundle", Usage: "file of a bundle whose targets are listed too"},
			&cli.DurationFlag{Name: "lag", Usage: "how late a change of the VM list shows"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			clock := clockwork.NewRealClock()
			machines := &paplatform.MemoryVMList{Clock: clock}
			if err := putMachines(machines, c.String("machines")); err != nil {
				return trace.Wrap(err)
			}
			if err := putTargets(machines, c.String("bundle")); err != nil {
				return trace.Wrap(err)
			}
			machines.SetLag(c.Duration("lag"))
			store := &paplatform.MemoryStore{Clock: clock}
			mux := http.NewServeMux()
			mux.Handle(platform.StorePathPrefix, &platform.StoreServer{Store: store})
			mux.Handle("/", &paplatform.Server{Store: store, VMs: machines})
			h := recorded(newRecorder("platform"), mux, "/Faults", "/Machines/", "/MachineFaults")
			return serveUntil(ctx, c.String("address"), h)
		},
	}
}

// serveUntil serves HTTP on an address until the context ends.
func serveUntil(ctx context.Context, address string, h http.Handler) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return trace.BadParameter("--address %q: want IP:PORT", address)
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return trace.Wrap(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}

// headerTimeout bounds the time a header takes.
const headerTimeout = 5 * time.Second

func putMachines(m *paplatform.MemoryVMList, file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var all []paplatform.VM
	if err := json.Unmarshal(data, &all); err != nil {
		return trace.BadParameter("%s: want a JSON list of VMs: %v", file, err)
	}
	for _, v := range all {
		m.Put(v)
	}
	return nil
}

func putTargets(m *paplatform.MemoryVMList, file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	b, faults := pabundle.Check(data)
	if len(faults) > 0 {
		return trace.BadParameter("%s: %s", file, faults[0])
	}
	for _, s := range b.Services {
		for _, t := range s.Targets {
			m.Put(paplatform.VM{
				Name: string(t.Name), Kind: paplatform.Target, Zone: string(t.Zone),
				State: paplatform.Live, ServiceAddress: t.Address,
			})
		}
	}
	return nil
}
