package pasetting

import (
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"papayahead/pabundle"
)

// Entry holds the validated settings of an entry VM's daemon.
type Entry struct {
	Name       pabundle.EntryName
	Zone       pabundle.ZoneName
	Region     pabundle.RegionName
	Deployment string
	// Callers, Peers and Operators are the addresses that the daemon listens on.
	Callers, Peers, Operators netip.AddrPort
	// CallersAddress and PeersAddress are the advertised addresses, at which callers and other entry VMs
	// reach the daemon.
	CallersAddress, PeersAddress netip.AddrPort
	// DialFrom is the local address of outgoing connections; if unset, the system chooses it.
	DialFrom netip.Addr
	// Store and Machines are the base addresses of the platform's key-value service and VM list.
	Store, Machines *url.URL
	// TimeToLive is how long callers may cache the answer of a look-up.
	TimeToLive time.Duration
	// ListLag is the maximum time until a change of the VM list is visible to every reader.
	ListLag time.Duration
	// DrainLimit is the maximum duration of a graceful shutdown.
	DrainLimit time.Duration
	// MaxConnections, MaxRequests and MaxBytes are this VM's limits on caller connections, requests in
	// flight and bytes in flight.
	MaxConnections, MaxRequests int
	MaxBytes                    int64
	// MaxMemory is the memory limit of the process in bytes; 0 is that of the VM.
	MaxMemory int64
	LogLevel  zerolog.Level
}

// Setting describes one setting of a process.
type Setting struct {
	Flag, EnvVar, Usage, Allowed string
	// Default applies when no value is given; a required setting has none.
	Default  string
	Required bool
	parse    func(e *Entry, value string) error
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)

const (
	nameAllowed    = "1 to 63 letters, digits and inner hyphens"
	addressAllowed = "IP:PORT with a numeric IP"
	urlAllowed     = "http://IP:PORT"
)

// EntrySettings returns the settings of `papayahead entry`, in the order of its help text.
func EntrySettings() []Setting {
	return []Setting{
		{Flag: "name", Usage: "name of this entry VM", Allowed: nameAllowed, Required: true,
			parse: func(e *Entry, v string) error { return parseName(v, (*string)(&e.Name)) }},
		{Flag: "zone", Usage: "availability zone of this entry VM", Allowed: nameAllowed, Required: true,
			parse: func(e *Entry, v string) error { return parseName(v, (*string)(&e.Zone)) }},
		{Flag: "region", Usage: "region of the availability zone", Allowed: nameAllowed, Required: true,
			parse: func(e *Entry, v string) error { return parseName(v, (*string)(&e.Region)) }},
		{Flag: "deployment", Usage: "deployment whose bundles are taken", Allowed: nameAllowed, Required: true,
			parse: func(e *Entry, v string) error { return parseName(v, &e.Deployment) }},
		{Flag: "callers", Usage: "address to listen on for callers", Allowed: addressAllowed, Required: true,
			parse: func(e *Entry, v string) error { return parseAddress(v, &e.Callers) }},
		{Flag: "peers", Usage: "address to listen on for other entry VMs", Allowed: addressAllowed, Required: true,
			parse: func(e *Entry, v string) error { return parseAddress(v, &e.Peers) }},
		{Flag: "operators", Usage: "address to listen on for metrics, health and the time line", Allowed: addressAllowed, Required: true,
			parse: func(e *Entry, v string) error { return parseAddress(v, &e.Operators) }},
		{Flag: "callers-address", Usage: "address that callers reach this VM at, if it is not the one listened on", Allowed: addressAllowed,
			parse: func(e *Entry, v string) error { return parseAddress(v, &e.CallersAddress) }},
		{Flag: "peers-address", Usage: "address that other entry VMs reach this VM at, if it is not the one listened on", Allowed: addressAllowed,
			parse: func(e *Entry, v string) error { return parseAddress(v, &e.PeersAddress) }},
		{Flag: "dial-from", Usage: "IP that connections to others come from, on a VM with several", Allowed: "an IP of this VM",
			parse: func(e *Entry, v string) error { return parseIP(v, &e.DialFrom) }},
		{Flag: "store", Usage: "base address of the platform's key-value service", Allowed: urlAllowed, Required: true,
			parse: func(e *Entry, v string) error { return parseURL(v, &e.Store) }},
		{Flag: "machines", Usage: "base address of the platform's VM list, if it is not the store's", Allowed: urlAllowed,
			parse: func(e *Entry, v string) error { return parseURL(v, &e.Machines) }},
		{Flag: "time-to-live", Usage: "how long callers may keep a look-up's answer", Allowed: "1s to 60s", Default: "3s",
			parse: func(e *Entry, v string) error { return parseDuration(v, time.Second, time.Minute, &e.TimeToLive) }},
		{Flag: "list-lag", Usage: "longest time that a change of the VM list takes to be seen by every reader", Allowed: "1s to 10m", Default: "30s",
			parse: func(e *Entry, v string) error { return parseDuration(v, time.Second, 10*time.Minute, &e.ListLag) }},
		{Flag: "drain-limit", Usage: "longest time a graceful shutdown may take", Allowed: "1s to 24h", Default: "1h",
			parse: func(e *Entry, v string) error { return parseDuration(v, time.Second, 24*time.Hour, &e.DrainLimit) }},
		{Flag: "max-connections", Usage: "connections from callers at once", Allowed: "16 to 1000000", Default: "4096",
			parse: func(e *Entry, v string) error { return parseInt(v, 16, 1_000_000, &e.MaxConnections) }},
		{Flag: "max-requests", Usage: "requests in flight at once", Allowed: "1 to 1000000", Default: "2048",
			parse: func(e *Entry, v string) error { return parseInt(v, 1, 1_000_000, &e.MaxRequests) }},
		{Flag: "max-bytes", Usage: "bytes of requests and answers in flight at once", Allowed: "1048576 to 1099511627776", Default: "268435456",
			parse: func(e *Entry, v string) error { return parseInt(v, 1<<20, 1<<40, &e.MaxBytes) }},
		{Flag: "max-memory", Usage: "memory of the process in bytes; 0 is that of the VM", Allowed: "0, or 67108864 to 1099511627776", Default: "0",
			parse: parseMemory},
		{Flag: "log-level", Usage: "least level of events to log", Allowed: "debug, info, warn or error", Default: "info",
			parse: func(e *Entry, v string) error { return parseLevel(v, &e.LogLevel) }},
	}
}

// minMemory and maxMemory bound the memory limit, in bytes.
const (
	minMemory = 64 << 20
	maxMemory = 1 << 40
)

// parseMemory parses the memory limit, of which 0 stands for that of the VM.
func parseMemory(e *Entry, v string) error {
	if v == "0" {
		e.MaxMemory = 0
		return nil
	}
	return parseInt(v, minMemory, maxMemory, &e.MaxMemory)
}

// ParseEntry parses and validates values, keyed by flag name. The error is a SettingErrors that lists
// every missing or invalid setting.
func ParseEntry(values map[string]string) (Entry, error) {
	var e Entry
	var errs SettingErrors
	for _, s := range EntrySettings() {
		v := values[s.Flag]
		if v == "" {
			v = s.Default
		}
		if v == "" && !s.Required {
			continue
		}
		if v == "" || s.parse(&e, v) != nil {
			errs = append(errs, SettingError{Flag: s.Flag, EnvVar: EnvVar(s.Flag), Value: values[s.Flag], Allowed: s.Allowed})
		}
	}
	if len(errs) > 0 {
		return Entry{}, errs
	}
	if f := e.complete(); len(f) > 0 {
		return Entry{}, f
	}
	return e, nil
}

// complete fills in settings that default to the value of another one, and validates constraints
// between settings.
func (e *Entry) complete() SettingErrors {
	if !e.CallersAddress.IsValid() {
		e.CallersAddress = e.Callers
	}
	if !e.PeersAddress.IsValid() {
		e.PeersAddress = e.Peers
	}
	if e.Machines == nil {
		e.Machines = e.Store
	}
	var f SettingErrors
	for _, a := range []struct {
		flag    string
		address netip.AddrPort
	}{{"callers-address", e.CallersAddress}, {"peers-address", e.PeersAddress}} {
		if a.address.Addr().IsUnspecified() || a.address.Port() == 0 {
			f = append(f, SettingError{Flag: a.flag, EnvVar: EnvVar(a.flag), Value: a.address.String(),
				Allowed: addressAllowed + " that others can reach"})
		}
	}
	if e.Callers == e.Peers || e.Callers == e.Operators || e.Peers == e.Operators {
		f = append(f, SettingError{Flag: "operators", EnvVar: EnvVar("operators"), Value: e.Operators.String(),
			Allowed: "three different addresses for callers, peers and operators"})
	}
	return f
}

func parseName(v string, to *string) error {
	if !namePattern.MatchString(v) {
		return trace.BadParameter("invalid name")
	}
	*to = v
	return nil
}

func parseAddress(v string, to *netip.AddrPort) error {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return trace.BadParameter("invalid IP:PORT")
	}
	*to = a
	return nil
}

func parseIP(v string, to *netip.Addr) error {
	a, err := netip.ParseAddr(v)
	if err != nil {
		return trace.BadParameter("invalid IP address")
	}
	*to = a
	return nil
}

func parseURL(v string, to **url.URL) error {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Path != "" && u.Path != "/" {
		return trace.BadParameter("invalid base URL")
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return trace.BadParameter("URL host is not a numeric IP:PORT")
	}
	*to = u
	return nil
}

func parseDuration(v string, low, high time.Duration, to *time.Duration) error {
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		return trace.BadParameter("value out of range")
	}
	*to = d
	return nil
}

func parseInt[T int | int64](v string, low, high T, to *T) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < int64(low) || n > int64(high) {
		return trace.BadParameter("value out of range")
	}
	*to = T(n)
	return nil
}

func parseLevel(v string, to *zerolog.Level) error {
	switch v {
	case "debug", "info", "warn", "error":
		l, err := zerolog.ParseLevel(v)
		*to = l
		return trace.Wrap(err)
	default:
		return trace.BadParameter("unknown log level")
	}
}
