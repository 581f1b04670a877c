package pacrowd

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// The addresses of the example: the store, and the first entry VM with its ports.
const (
	exampleStore    = "127.0.0.1:7000"
	exampleEntry    = "127.0.1.1"
	callersPort     = 8001
	entryPeersPort  = 8002
	operatorsPort   = 8003
	maxEntryHeader  = 64 << 10
	maxEntryMemory  = memoryMB * bytesPerMB
	entryLegalHead  = maxEntryHeader - 1<<10
	entryLegalHeads = 250
)

// entry is an entry VM of the other daemon under test, with the stand-ins of the platform and of the targets as processes.
type entry struct{ *process }

// startEntry starts an entry VM of the example deployment and waits until it serves.
func startEntry(t *testing.T) *entry {
	t.Helper()
	apart(t)
	local := netip.MustParseAddr("127.0.0.1")
	startProcess(t, local, nil, "papayastand", "platform", "--address", exampleStore,
		"--machines", "../examples/instituto-machines.json", "--bundle", "../examples/instituto.json")
	startProcess(t, local, nil, "papayastand", "target", "--bundle", "../examples/instituto.json")
	at := func(port uint16) string { return netip.AddrPortFrom(netip.MustParseAddr(exampleEntry), port).String() }
	e := &entry{startProcess(t, netip.MustParseAddr(exampleEntry), []string{fmt.Sprintf("PAPAYAHEAD_MAX_MEMORY=%d", maxEntryMemory)},
		"papayahead", "entry", "--name", "entry-1", "--zone", "centro-1", "--region", "centro", "--deployment", "instituto",
		"--callers", at(callersPort), "--peers", at(entryPeersPort), "--operators", at(operatorsPort),
		"--dial-from", exampleEntry, "--store", "http://"+exampleStore, "--time-to-live", "1s")}
	e.rollOut()
	e.serves()
	return e
}

// rollOut rolls the example's bundle out.
func (e *entry) rollOut() {
	e.t.Helper()
	folder, err := commands()
	if err != nil {
		e.t.Fatal(err)
	}
	bundle := func(operator string, arguments ...string) string {
		arguments = append([]string{"bundle", "--operator", operator, "--output", "json"}, arguments...)
		c := exec.Command(filepath.Join(folder, "papayahead"), arguments...)
		c.Env = append(c.Environ(), "PAPAYAHEAD_STORE=http://"+exampleStore, "PAPAYAHEAD_DEPLOYMENT=instituto")
		var out []byte
		var err error
		for begun := time.Now(); time.Since(begun) < patience; time.Sleep(100 * time.Millisecond) {
			if out, err = c.CombinedOutput(); err == nil {
				return string(out)
			}
			c = &exec.Cmd{Path: c.Path, Args: c.Args, Env: c.Env}
		}
		e.t.Fatalf("%v: %v: %s", arguments, err, out)
		return ""
	}
	digest := regexp.MustCompile(`"Digest": *"([0-9a-f]+)"`).FindStringSubmatch(bundle("ana", "propose", "../examples/instituto.json"))
	if digest == nil {
		e.t.Fatal("no digest")
	}
	bundle("berta", "review", digest[1])
	bundle("berta", "sign-off", digest[1])
	bundle("ana", "roll-out", digest[1])
}

func (e *entry) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(e.address, port) }

// serves checks that an ordinary request is answered, and that the operators' port answers.
func (e *entry) serves() {
	e.t.Helper()
	for _, url := range []string{
		"http://" + e.at(callersPort).String() + "/Services/availability/?Size=10",
		"http://" + e.at(operatorsPort).String() + "/Status",
	} {
		status := 0
		var err error
		for begun := time.Now(); time.Since(begun) < 2*patience && status != http.StatusOK; time.Sleep(50 * time.Millisecond) {
			c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
			var r *http.Response
			if r, err = c.Get(url); err == nil {
				status = r.StatusCode
				_, _ = io.Copy(io.Discard, r.Body)
				r.Body.Close()
			}
		}
		if status != http.StatusOK {
			e.t.Errorf("%s: status %d, %v", url, status, err)
		}
	}
}

// bear has a crowd at the entry VM, and checks what must hold then and afterwards.
func (e *entry) bear(c crowd) {
	e.t.Helper()
	c.run()
	e.serves()
	e.check()
}

func entryHead(method, path, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\n%s", method, path, more)
}

const (
	entryPath = "/Services/availability/?Size=10"
	longPath  = "/Services/availability/?Size=2000000"
)

func TestEntryLegalHeads(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(callersPort), conns: entryLegalHeads, begin: []byte(entryHead("GET", entryPath, shortLines(entryLegalHead)) + "\r\n")})
}

func TestEntryLegalHeadsOfOneName(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(callersPort), conns: entryLegalHeads, begin: []byte(entryHead("GET", entryPath, sameLines(entryLegalHead)) + "\r\n")})
}

func TestEntryLegalHeadsThatStopShort(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(callersPort), conns: entryLegalHeads, begin: []byte(entryHead("GET", entryPath, shortLines(entryLegalHead)))})
}

func TestEntryHeadsWithoutEnd(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(callersPort), conns: 250, begin: []byte(entryHead("GET", entryPath, "")), repeat: []byte(shortLines(64 << 10))})
}

func TestEntryPipelinedLegalHeads(t *testing.T) {
	e := startEntry(t)
	one := entryHead("GET", entryPath, shortLines(entryLegalHead)) + "\r\n"
	e.bear(crowd{to: e.at(callersPort), conns: 250, begin: []byte(strings.Repeat(one, 20))})
}

func TestEntryBodiesThatStopShort(t *testing.T) {
	e := startEntry(t)
	begin := entryHead("POST", entryPath, fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody)) + strings.Repeat("x", longBody-1)
	e.bear(crowd{to: e.at(callersPort), conns: 400, begin: []byte(begin)})
}

func TestEntryLongBodiesThatStop(t *testing.T) {
	e := startEntry(t)
	begin := entryHead("POST", entryPath, "Content-Length: 60000000\r\n\r\n") + strings.Repeat("x", 8<<20)
	e.bear(crowd{to: e.at(callersPort), conns: 100, begin: []byte(begin)})
}

func TestEntryLongAnswersThatNobodyReads(t *testing.T) {
	e := startEntry(t)
	one := entryHead("GET", longPath, "") + "\r\n"
	e.bear(crowd{to: e.at(callersPort), conns: 400, begin: []byte(strings.Repeat(one, 16)), unread: true, hold: 3 * time.Second})
}

func TestEntryMoreConnectionsThanRoom(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(callersPort), conns: 2500, begin: []byte(entryHead("GET", entryPath, shortLines(legalHead)))})
}

func TestEntryOperatorsPortWithLongHeads(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(operatorsPort), conns: 250, begin: []byte(entryHead("GET", "/Status", shortLines(entryLegalHead)) + "\r\n")})
}

func TestEntryOperatorsPortThatStopsShort(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(operatorsPort), conns: 400, begin: []byte(entryHead("GET", "/Status", shortLines(entryLegalHead)))})
}

func TestEntryMessagesOfPeersThatStopShort(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(entryPeersPort), conns: 400, begin: unfinishedMessage(1 << 20)})
}

func TestEntrySilentConnectionsOfPeers(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(entryPeersPort), conns: 4500})
}

func TestEntrySilentConnectionsOfCallers(t *testing.T) {
	e := startEntry(t)
	e.bear(crowd{to: e.at(callersPort), conns: 4500})
}
