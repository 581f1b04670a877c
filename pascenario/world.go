package pascenario

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pastand"
)

// Process is a started process.
type Process interface {
	// Terminate asks for a graceful shutdown, Kill ends it at once.
	Terminate() error
	Kill() error
	// Freeze stops the process where it is, Thaw lets it go on.
	Freeze() error
	Thaw() error
	// Done is closed when the process has ended.
	Done() <-chan struct{}
	// ExitCode is valid once Done is closed.
	ExitCode() int
}

// Launch starts a program, "papayahead" or "papayastand", with its output going to a file.
type Launch func(program, logFile string, arguments ...string) (Process, error)

// World is one script's deployment with its processes.
type World struct {
	Launch Launch
	// Examples is the directory of the example bundles.
	Examples string
	// FirstNetwork is the network of loopback to take if nobody uses it, the second byte of its addresses;
	// 0 lets the process's identifier say. Look-ups rank by addresses, so a run depends on it.
	FirstNetwork byte

	deployment *Deployment
	directory  string

	mutex     sync.Mutex
	processes map[string]Process
	// told is closed when the Wire was told of a process's end, by its name.
	told    map[string]chan struct{}
	loads   map[string]load
	digests []pabundle.Digest
	// drained is when each target was told to leave.
	drained map[string]time.Time
	// reserved holds the network of the deployment.
	reserved net.Listener
}

// load is a running or ended load of callers.
type load struct {
	process Process
	report  string
}

// bootTime bounds the time until all entry VMs have a bundle in force and agree on who counts.
const bootTime = 30 * time.Second

// Deploy starts a deployment of an example and rolls its bundle out.
func (w *World) Deploy(ctx context.Context, directory, example string, change func(*pabundle.Bundle) error) error {
	data, err := os.ReadFile(filepath.Join(w.Examples, example+".json"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	b, faults := pabundle.Check(data)
	if len(faults) > 0 {
		return trace.BadParameter("%s: %s", example, faults[0])
	}
	if err := change(&b); err != nil {
		return err
	}
	w.directory, w.drained = directory, map[string]time.Time{}
	n, reserved, err := reserveNet(w.FirstNetwork)
	if err != nil {
		return err
	}
	w.reserved = reserved
	w.deployment = NewDeployment(directory, n, b)
	if err := w.deployment.Write(); err != nil {
		return trace.Wrap(err)
	}
	if err := w.startAll(); err != nil {
		return trace.Wrap(err)
	}
	if err := w.await(ctx, bootTime, "the platform", w.platformUp); err != nil {
		return trace.Wrap(err)
	}
	if err := w.Roll(ctx, w.deployment.Bundle); err != nil {
		return trace.Wrap(err)
	}
	if err := w.await(ctx, bootTime, "all entry VMs in service", w.allReady); err != nil {
		return trace.Wrap(err, "ended processes: %v", w.endedProcesses())
	}
	return nil
}

func (w *World) endedProcesses() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var all []string
	for n, p := range w.processes {
		if ended(p) {
			all = append(all, n)
		}
	}
	return all
}

func (w *World) startAll() error {
	d := w.deployment
	if err := w.start("papayastand", "platform", d.PlatformArguments()); err != nil {
		return err
	}
	if err := w.start("papayastand", "wire", d.WireArguments()); err != nil {
		return err
	}
	for _, z := range d.Zones() {
		if err := w.start("papayastand", "targets-"+string(z), d.TargetArguments(z)); err != nil {
			return err
		}
	}
	for _, e := range d.Entries {
		if err := w.start("papayahead", string(e.Name), d.EntryArguments(e)); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) start(program, name string, arguments []string) error {
	p, err := w.Launch(program, filepath.Join(w.directory, name+".log"), arguments...)
	if err != nil {
		return trace.Wrap(err, "starting %s", name)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.processes == nil {
		w.processes = map[string]Process{}
	}
	if w.told == nil {
		w.told = map[string]chan struct{}{}
	}
	w.processes[name] = p
	told := make(chan struct{})
	w.told[name] = told
	go func() {
		defer close(told)
		<-p.Done()
		w.setHost(name, true)
	}()
	return nil
}

// setHost tells the Wire whether anybody listens at an entry VM, so that connections to a dead one
// are refused as they are without a Wire.
func (w *World) setHost(name string, down bool) {
	e, err := w.deployment.Entry(name)
	if err != nil {
		return
	}
	h := pastand.Host{Address: w.deployment.ip(entryRealNet, e.Number), Down: down}
	// The Wire may be gone at the end of a script.
	_ = w.call(context.Background(), http.MethodPost, "http://"+w.deployment.Wire()+"/Hosts", h, nil)
}

// Process finds a process by its name.
func (w *World) Process(name string) (Process, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	p, ok := w.processes[name]
	if !ok {
		return nil, trace.NotFound("no process %q", name)
	}
	return p, nil
}

// awaitEnd waits until a process has ended and the Wire knows: a new one of the same name would find
// its ports taken before, and be taken for dead by a late word of the old one's end.
func (w *World) awaitEnd(name string) error {
	w.mutex.Lock()
	told, ok := w.told[name]
	w.mutex.Unlock()
	if !ok {
		return nil
	}
	select {
	case <-told:
		return nil
	case <-time.After(2 * callTime):
		return trace.LimitExceeded("%s still runs", name)
	}
}

// Close kills all processes.
func (w *World) Close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, p := range w.processes {
		// A process that has ended cannot be killed, nor has to.
		_ = p.Thaw()
		_ = p.Kill()
		<-p.Done()
	}
	if w.reserved != nil {
		w.reserved.Close()
	}
}

// StartLoad starts callers; their region is the bundle's with the given number.
func (w *World) StartLoad(name string, region int, arguments []string) error {
	d := w.deployment
	report := filepath.Join(w.directory, name+".report.json")
	all := append([]string{
		"callers", "--bundle", d.file("bundle.json"), "--name", name, "--report", report,
		"--from", d.CallerAddress(region).String(),
	}, arguments...)
	for _, e := range d.Entries {
		all = append(all, "--entry", d.Callers(e).String())
	}
	if err := w.start("papayastand", name, all); err != nil {
		return err
	}
	p, err := w.Process(name)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.loads == nil {
		w.loads = map[string]load{}
	}
	w.loads[name] = load{process: p, report: report}
	return nil
}

// loadTime bounds the wait for the end of a load.
const loadTime = 3 * time.Minute

// Report waits for the end of a load and returns what its callers saw.
func (w *World) Report(name string) (pastand.Report, error) {
	w.mutex.Lock()
	l, ok := w.loads[name]
	w.mutex.Unlock()
	if !ok {
		return pastand.Report{}, trace.NotFound("no load %q", name)
	}
	select {
	case <-l.process.Done():
	case <-time.After(loadTime):
		return pastand.Report{}, trace.LimitExceeded("load %q did not end in %s", name, loadTime)
	}
	data, err := os.ReadFile(l.report)
	if err != nil {
		return pastand.Report{}, trace.Wrap(err, "load %q ended with code %d and no report", name, l.process.ExitCode())
	}
	var r pastand.Report
	return r, trace.Wrap(json.Unmarshal(data, &r))
}
