package pascenario

import (
	"flag"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"
)

// processOf is an os/exec process of this test.
type processOf struct {
	command *exec.Cmd
	done    chan struct{}
}

func (p *processOf) Terminate() error      { return p.command.Process.Signal(syscall.SIGTERM) }
func (p *processOf) Kill() error           { return p.command.Process.Kill() }
func (p *processOf) Freeze() error         { return p.command.Process.Signal(syscall.SIGSTOP) }
func (p *processOf) Thaw() error           { return p.command.Process.Signal(syscall.SIGCONT) }
func (p *processOf) Done() <-chan struct{} { return p.done }
func (p *processOf) ExitCode() int         { return p.command.ProcessState.ExitCode() }

var programs string

func launch(program, logFile string, arguments ...string) (Process, error) {
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &processOf{command: exec.Command(filepath.Join(programs, program), arguments...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = f, f
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	return p, nil
}

// mostParallel bounds the scripts that run side by side.
const mostParallel = 3

func TestMain(m *testing.M) {
	flag.Parse()
	// testscript runs scripts in parallel, each with 15 processes; what they measure is not to depend
	// on how many cores the others leave.
	if parallel := flag.Lookup("test.parallel"); parallel.Value.(flag.Getter).Get().(int) > mostParallel {
		if err := parallel.Value.Set(strconv.Itoa(mostParallel)); err != nil {
			panic(err)
		}
	}
	directory, err := os.MkdirTemp("", "papayahead-programs")
	if err != nil {
		panic(err)
	}
	programs = directory
	build := exec.Command("go", "build", "-o", directory, "papayahead/papayahead", "papayahead/papayastand")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

var (
	keep    = flag.Bool("keep", false, "keep the directories of scenarios")
	network = flag.Uint("network", 0, "network of loopback to take if it is free, 20 to 219; 0 is any")
)

var demo = flag.String("demo", "", "deployment to demonstrate: instituto or kartuli")

func setup(e *testscript.Env) error {
	if *network > 0 && (*network < firstNet || *network >= firstNet+netCount) {
		return trace.BadParameter("network %d: want %d to %d", *network, firstNet, firstNet+netCount-1)
	}
	Setup(e, &World{Launch: launch, Examples: "../examples", FirstNetwork: byte(*network)})
	return nil
}

// keyedServices are the services of each example whose requests must not run twice, and the target
// that its demonstration drains.
var keyedServices = map[string][3]string{
	"instituto": {"deposits", "reservations", "availability-08"},
	"kartuli":   {"billing", "trim-and-share", "library-08"},
}

func TestDemo(t *testing.T) {
	if *demo == "" {
		t.Skip("run by make demo")
	}
	keyed, ok := keyedServices[*demo]
	if !ok {
		t.Fatalf("demo %q: want instituto or kartuli", *demo)
	}
	testscript.Run(t, testscript.Params{
		Dir: "../examples/demo",
		Setup: func(e *testscript.Env) error {
			if err := setup(e); err != nil {
				return err
			}
			e.Setenv("DEPLOYMENT", *demo)
			e.Setenv("KEYED1", keyed[0])
			e.Setenv("KEYED2", keyed[1])
			e.Setenv("DRAINED", keyed[2])
			return nil
		},
		Cmds: Commands(),
	})
}

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start processes")
	}
	testscript.Run(t, testscript.Params{
		Dir:      "testdata",
		TestWork: *keep,
		Setup:    setup,
		Cmds:     Commands(),
	})
}

var (
	seed     = flag.Uint64("seed", 5, "seed of the torture")
	duration = flag.Duration("duration", 12*time.Second, "load of the torture")
)

func TestTorture(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start processes")
	}
	script := Torture(rand.New(rand.NewPCG(*seed, 0)), "instituto", *duration)
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "torture.txt"), []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, %s", *seed, *duration)
	testscript.Run(t, testscript.Params{
		Dir:      directory,
		TestWork: *keep,
		Setup:    setup,
		Cmds:     Commands(),
	})
}
