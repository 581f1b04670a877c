package pascenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/paentry"
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

// nets tells the Worlds of one process apart.
var nets atomic.Uint32

// firstNet and netCount bound the second byte of the addresses, and netStride is how far apart two
// processes with neighbouring identifiers begin: a prime, so that runs side by side seldom try the
// same networks.
const (
	firstNet  = 20
	netCount  = 200
	netStride = 37
)

// reserveNet finds a network that nobody uses and holds it with a listener until the script ends.
// Without it two runs side by side would share a network: the later one's platform could not listen,
// and its operator would meet the other run's versions.
func reserveNet(wanted byte) (byte, net.Listener, error) {
	first := uint32(os.Getpid())*netStride + nets.Add(1)
	if wanted >= firstNet {
		first = uint32(wanted - firstNet)
	}
	for i := range uint32(netCount) {
		n := byte(firstNet + (first+i)%netCount)
		l, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, platformNet, 3}), reservedPort).String())
		if err == nil {
			return n, l, nil
		}
	}
	return 0, nil, trace.LimitExceeded("all %d networks of loopback are in use", netCount)
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

// pollPause is the time between two looks at a condition.
const pollPause = 50 * time.Millisecond

// await waits until a condition holds.
func (w *World) await(ctx context.Context, limit time.Duration, what string, holds func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := holds(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollPause):
		case <-ctx.Done():
			return trace.LimitExceeded("waited %s for %s: %v", limit, what, err)
		}
	}
}

func (w *World) platformUp(ctx context.Context) error {
	return w.call(ctx, http.MethodGet, "http://"+w.deployment.Platform()+"/Counts", nil, nil)
}

// allReady says whether every entry VM that runs takes requests.
func (w *World) allReady(ctx context.Context) error {
	for _, e := range w.deployment.Entries {
		s, err := w.Status(ctx, e)
		switch {
		case err != nil:
			return err
		case s.Head.Sequence == 0:
			return trace.NotFound("%s has no bundle", e.Name)
		case s.Agreed == 0:
			return trace.NotFound("%s has no agreement", e.Name)
		}
	}
	return nil
}

// Status asks an entry VM how it is.
func (w *World) Status(ctx context.Context, e EntryVM) (paentry.Status, error) {
	var s paentry.Status
	err := w.call(ctx, http.MethodGet, "http://"+w.deployment.Operators(e).String()+paentry.StatusPath, nil, &s)
	return s, err
}

// callTime bounds one call to a control port.
const callTime = 2 * time.Second

// call sends JSON and reads JSON.
func (w *World) call(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return trace.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return trace.Wrap(err)
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.StatusCode >= http.StatusMultipleChoices {
		return trace.BadParameter("%s %s: %s: %s", method, url, r.Status, data)
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, out))
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

// TargetFault changes a target's faults, past the Wire.
func (w *World) TargetFault(ctx context.Context, t pabundle.Target, faults any) error {
	url := "http://" + w.deployment.behind(t.Address).String() + "/Faults"
	return w.call(ctx, http.MethodPost, url, faults, nil)
}

// LookUp asks an entry VM on behalf of a caller and returns the names of the answer, in order.
func (w *World) LookUp(ctx context.Context, e EntryVM, service string, caller netip.Addr) ([]string, error) {
	var a struct{ Entries []struct{ Name string } }
	url := fmt.Sprintf("http://%s%s%s?Caller=%s", w.deployment.Callers(e), paentry.LookUpPath, service, caller)
	if err := w.call(ctx, http.MethodGet, url, nil, &a); err != nil {
		return nil, err
	}
	var names []string
	for _, x := range a.Entries {
		names = append(names, x.Name)
	}
	return names, nil
}
