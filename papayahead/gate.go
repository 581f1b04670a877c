package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"papayahead/paevent"
	"papayahead/pagate"
	"papayahead/paplatform"
	"papayahead/paport"
	"papayahead/pasocket"
	"papayahead/pasteer"
	"papayahead/platform"
)

const (
	// logQueueLines is the number of log lines buffered for a slow reader; beyond it lines are dropped and counted.
	logQueueLines = 2048
	// eventRingSize is the number of recent events kept in memory; every event is also logged.
	eventRingSize = 64
	// maxIdleStoreConns is the number of idle connections to the store to keep: one for the watch of all keys, one for that of the
	// operators' keys, and one for other calls.
	maxIdleStoreConns = 3
	// maxStoreHeader bounds the head of a response of the platform's services, in bytes.
	maxStoreHeader = 64 << 10
	// fileDescriptors is how many of the process's descriptors are kept for files; maxDescriptors is more than any process uses.
	fileDescriptors = 200
	maxDescriptors  = 1 << 20
	// metricsPort is the port of the gate's metrics; the deploy file contains the same number.
	metricsPort = 9464
)

func gateCommand() *cli.Command {
	return &cli.Command{
		Name:  "gate",
		Usage: "run the daemon of an entry VM on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(platform.SettingsPathEnv)},
			&cli.StringFlag{Name: "off", Usage: "mechanisms of the steering to switch off for a measurement: " + strings.Join(pasteer.Mechanisms(), ", ")},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			off, err := pasteer.ParseOff(c.String("off"))
			if err != nil {
				return trace.Wrap(err)
			}
			return runGate(ctx, c.String("settings"), off)
		},
	}
}

// runGate runs the gate daemon until a signal shuts it down. SIGHUP is subscribed first: until then it would
// end the process.
func runGate(ctx context.Context, path string, off pasteer.Off) error {
	hangup := notifyHangup()
	clock := clockwork.NewRealClock()
	var dropped atomic.Uint64
	out := logWriter(os.Stdout, &dropped)
	defer func() {
		if err := out.Close(); err != nil {
			fmt.Fprintln(os.Stderr, "log:", err)
		}
	}()
	log := zerolog.New(out).With().Timestamp().Logger()
	set, err := platform.ReadSettings(path)
	recorder := paevent.NewRecorder(paevent.RecorderConfig{
		Process: set.Name, Clock: clock, Log: log.With().Str("Process", set.Name).Logger(), RingSize: eventRingSize,
	})
	if err != nil {
		recorder.Record(paevent.SettingsRefused{Fault: err.Error()})
		return err
	}
	set.Sockets = availableSockets(set.Sockets)
	onReceived := limitMemory(&set)
	network := gateNetwork{}
	storeTraffic := &pasocket.Traffic{}
	dialStore := func(ctx context.Context, kind, address string) (net.Conn, error) {
		c, err := network.Dial(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		return storeTraffic.Wrap(c), nil
	}
	seed := uint64(clock.Now().UnixNano())
	g := pagate.New(pagate.Config{
		Settings: set, Headers: platform.Headers(), Codec: platform.Codec{},
		Registry: &platform.Registry{
			Store: &platform.StoreClient{
				BaseURL: "http://" + set.Store, Caller: paplatform.Caller(set.Name), Clock: clock,
				Transport: &http.Transport{
					DialContext: dialStore, MaxIdleConnsPerHost: maxIdleStoreConns, MaxResponseHeaderBytes: maxStoreHeader,
				},
			},
			OnUnreadable: func(key string, err error) {
				recorder.Record(paevent.ValueUnreadable{Key: key, Reason: err.Error()})
			},
			Regions: set.Regions,
		},
		Network: network, Clock: clock, Uptime: uptime, Random: rand.New(rand.NewPCG(seed, uint64(os.Getpid()))),
		Recorder: recorder, Version: Version, Off: off, StoreTraffic: storeTraffic, OnReceived: onReceived,
	})
	g.CountDroppedLines(&dropped)
	serveMetrics(set, g, clock, recorder)
	soft, hard, release := shutdownContexts(ctx)
	defer release()
	r := &reloader{path: path, clock: clock, gate: g, recorder: recorder}
	go r.run(hard, hangup)
	return trace.Wrap(g.Run(soft, hard))
}

// availableSockets lowers the number of sockets by the settings, 0 if unknown, to what the system allows the process. A part of its
// descriptors is for files.
func availableSockets(bySettings int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return bySettings
	}
	bySystem := int(min(limit.Cur, maxDescriptors))
	bySystem -= min(fileDescriptors, bySystem/2)
	if bySettings == 0 {
		return bySystem
	}
	return min(bySettings, bySystem)
}

// uptime returns the time since boot from CLOCK_BOOTTIME, which, unlike CLOCK_MONOTONIC, includes the time
// that the VM was suspended.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("papayahead: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// logWriter returns a writer that never blocks: when more than logQueueLines lines are queued it drops the
// oldest and adds their number to dropped.
func logWriter(to io.Writer, dropped *atomic.Uint64) diode.Writer {
	return diode.NewWriter(to, logQueueLines, 0, func(n int) { dropped.Add(uint64(n)) })
}

// serveMetrics serves the gate's metrics. If it can't listen or serve, it records the failure and the gate
// runs without metrics.
func serveMetrics(s pagate.Settings, g *pagate.Gate, clock clockwork.Clock, recorder *paevent.Recorder) {
	l, err := gateNetwork{}.Listen(netip.AddrPortFrom(s.Front.Addr(), metricsPort))
	if err != nil {
		recorder.Record(paevent.ListenerFailed{Reason: err.Error()})
		return
	}
	lasting := paport.NewListener(paport.Config{Base: l, Clock: clock, OnError: g.CountAcceptError})
	go func() {
		if err := g.ServeMetrics(lasting); err != nil {
			recorder.Record(paevent.ListenerFailed{Reason: err.Error()})
		}
	}()
}

// limitMemory sets the memory limit of a gate to that of the VM, if its settings have none, and returns limitHeap of it.
func limitMemory(s *pagate.Settings) func(received int64) {
	if s.MemoryMB == 0 {
		s.MemoryMB = float64(memoryOfVM()) / bytesPerMB
	}
	return limitHeap(int64(s.MemoryMB * bytesPerMB))
}

// limitHeap has the runtime keep to the memory limit of the process, in bytes. Garbage collection then runs more often before it is
// reached, and as usual far from it. The returned function lowers the limit by what the system may hold of connections.
func limitHeap(limit int64) func(received int64) {
	if limit <= 0 {
		return nil
	}
	set := func(received int64) { debug.SetMemoryLimit(int64(float64(limit)*heapPart) - received) }
	set(0)
	return set
}

const (
	bytesPerMB = 1 << 20
	// heapPart is the part of the memory limit that the runtime and the system may use: the rest is for the program itself.
	heapPart = 0.75
)

// memoryOfVM returns the memory of the VM in bytes; 0 if the system does not say.
func memoryOfVM() uint64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return info.Totalram * uint64(info.Unit)
}

// gateNetwork opens TCP connections that detect an unresponsive peer.
type gateNetwork struct{}

const (
	// unackedTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT). The round trip time is
	// 70 ms; a few lost packets must not close a connection.
	unackedTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes limit how long a dead peer goes undetected while
	// the gate waits for its response.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Dial connects to an address, with TCP keep-alive and a limit on unacknowledged data.
func (gateNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return trace.NewAggregate(err, failed)
		},
	}
	c, err := d.DialContext(ctx, network, address)
	return c, trace.Wrap(err)
}

// Listen opens a TCP listener.
func (gateNetwork) Listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, trace.Wrap(err)
}
