package pacrowd

import (
	"bufio"
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var runCrowds = flag.Bool("crowd", false, "run the tests with crowds, which want the machine for themselves")

const (
	// memoryMB is the memory limit of the daemons under test, maxDescriptors that of their descriptors.
	memoryMB       = 128
	maxDescriptors = 4100
	// sampleInterval is the time between two looks at the process.
	sampleInterval = 20 * time.Millisecond
	bytesPerMB     = 1 << 20
)

// commands builds the commands once and returns their folder.
var commands = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "pacrowd")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", folder+"/", "papayahead/papayahead", "papayahead/papayastand").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return folder, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if *runCrowds {
		if folder, err := commands(); err == nil {
			_ = os.RemoveAll(folder)
		}
	}
	os.Exit(code)
}

// process is a daemon under test.
type process struct {
	t       *testing.T
	command *exec.Cmd
	log     string
	// address is where it listens, on several ports.
	address netip.Addr
	ended   chan struct{}

	mutex sync.Mutex
	// peakMemory is the largest sum of its resident memory and of what has arrived for it unread, in bytes.
	peakMemory, peakDescriptors int
	// peakUnread is the largest part of it that was unread, peakResident the resident one.
	peakUnread, peakResident int
	stop                     chan struct{}
	sampler                  sync.WaitGroup
}

// startProcess starts a command; it is ended with the test.
func startProcess(t *testing.T, address netip.Addr, environment []string, name string, arguments ...string) *process {
	t.Helper()
	folder, err := commands()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		t: t, address: address, log: filepath.Join(t.TempDir(), name+".log"), ended: make(chan struct{}), stop: make(chan struct{}),
		command: exec.Command(filepath.Join(folder, name), arguments...),
	}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = append(os.Environ(), environment...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		log.Close()
		close(p.ended)
	}()
	p.sampler.Go(p.sample)
	t.Cleanup(func() {
		close(p.stop)
		p.sampler.Wait()
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// sample watches the process until it ends. One that has passed far beyond its limit is ended, before it takes the machine's memory.
func (p *process) sample() {
	for {
		select {
		case <-p.stop:
			return
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
		}
		resident, peak := p.status("VmRSS:"), p.status("VmHWM:")
		waiting := unread(p.address)
		memory := max(resident+waiting, peak)
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		p.mutex.Lock()
		p.peakMemory, p.peakDescriptors = max(p.peakMemory, memory), max(p.peakDescriptors, len(descriptors))
		p.peakUnread, p.peakResident = max(p.peakUnread, waiting), max(p.peakResident, peak)
		p.mutex.Unlock()
		if resident > 16*memoryMB*bytesPerMB {
			_ = p.command.Process.Kill()
		}
	}
}

// status returns a figure of the process's status in bytes; 0 if it has ended.
func (p *process) status(field string) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), field); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n << 10
		}
	}
	return 0
}

// unread returns how many bytes have arrived on sockets of a local address and were not read yet.
func unread(address netip.Addr) int {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	b := address.As4()
	local := strings.ToUpper(hex.EncodeToString([]byte{b[3], b[2], b[1], b[0]})) + ":"
	sum := 0
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == "0A" {
			continue // In the state of listening, 0A, the figure counts connections.
		}
		if _, queue, ok := strings.Cut(fields[4], ":"); ok {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += int(n)
		}
	}
	return sum
}

// check checks what must hold after a crowd: the process lives, and its memory and descriptors stayed under their bounds.
func (p *process) check() {
	p.t.Helper()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.t.Logf("peak memory %d MB, resident %d MB, unread %d MB, descriptors %d",
		p.peakMemory/bytesPerMB, p.peakResident/bytesPerMB, p.peakUnread/bytesPerMB, p.peakDescriptors)
	select {
	case <-p.ended:
		b, _ := os.ReadFile(p.log)
		p.t.Errorf("the process has ended: %s", b[max(0, len(b)-2000):])
	default:
	}
	if p.peakMemory > memoryMB*bytesPerMB {
		p.t.Errorf("peak memory %d MB, at most %d are allowed", p.peakMemory/bytesPerMB, memoryMB)
	}
	if p.peakDescriptors > maxDescriptors {
		p.t.Errorf("%d descriptors, at most %d are allowed", p.peakDescriptors, maxDescriptors)
	}
}
