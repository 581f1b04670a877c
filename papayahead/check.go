package main

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"papayahead/pafleet"
	"papayahead/pagate"
	"papayahead/paplatform"
	"papayahead/paroute"
	"papayahead/platform"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file, and the configuration and targets in the store that it names",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(platform.SettingsPathEnv)},
			&cli.BoolFlag{Name: "offline", Usage: "check the settings file only"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return check(ctx, c.String("settings"), c.Bool("offline"))
		},
	}
}

// check prints every error in the settings file and, unless offline is set, in the configuration and
// targets in its store. It returns an error if it found any.
func check(ctx context.Context, path string, offline bool) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if offline {
		fmt.Println("settings: no errors")
		return nil
	}
	found := 0
	report := func(format string, arguments ...any) {
		found++
		fmt.Println(fmt.Sprintf(format, arguments...))
	}
	clock := clockwork.NewRealClock()
	r := &platform.Registry{
		Store:        &platform.StoreClient{BaseURL: "http://" + s.Store, Caller: paplatform.Caller("check"), Clock: clock},
		OnUnreadable: func(key string, err error) { report("%s: %v", key, err) },
	}
	all, revision, err := r.List(ctx, pagate.AllKeys)
	if err != nil {
		return trace.Wrap(err)
	}
	var v pafleet.View
	v.ApplyListing(all, revision, clock.Now())
	if v.Config == nil {
		report("the store holds no configuration")
	} else {
		checkView(&v, s.Regions, report)
	}
	fmt.Printf("%d targets, %d entry VMs, %d zones evacuated, %d errors\n", len(v.Targets), len(v.Entries), len(v.Evacuated), found)
	if found > 0 {
		return trace.BadParameter("check: %d errors", found)
	}
	return nil
}

// checkView reports invalid configuration and every service that has no available target.
func checkView(v *pafleet.View, regions map[string]string, report func(format string, arguments ...any)) {
	for _, f := range append(paroute.Check(v.Config), paroute.CheckRegions(v.Config.Workspaces, regions)...) {
		report("%s", f)
	}
	ready := map[string]int{}
	for _, m := range v.Targets {
		if _, evacuated := v.Evacuated[m.Zone]; !m.Draining && !evacuated {
			ready[m.Service]++
		}
	}
	for name := range v.Config.Services {
		if ready[name] == 0 {
			report("service %q: no target is available; its requests are refused", name)
		}
	}
}
