package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gate is one process of the project, started with the command of the deploy file.
type gate struct {
	name, zone, ip string
	front, ready   string
	command        []string
	folder         string
	process        *exec.Cmd
	log            *os.File
}

// regions has the zones of the deployment and their regions.
var regions = map[string]string{
	"trnava-a": "zapad", "nitra-b": "zapad", "zvolen-a": "stred", "lucenec-b": "stred", "presov-a": "vychod", "kosice-b": "vychod",
}

// ports are the ports of all gates; each has an address of its own.
type ports struct{ front, ready, control, directory int }

func (g *gate) settings(p ports, seeds []string, storeAddress, terms string) string {
	var b strings.Builder
	line := func(format string, arguments ...any) { fmt.Fprintf(&b, format+"\n", arguments...) }
	line("self.nodeName=%s\nself.role=entry\nself.machineClass=edge\nself.serves=edge,control_plane,directory", g.name)
	line("self.ip=%s\nself.zone=%s\nself.region=%s\nself.countsAsLoss=false\nself.bootstrap=true", g.ip, g.zone, regions[g.zone])
	line("self.limits.cpuShare=0.32\nself.limits.cores=1\nself.limits.memoryMb=284\nself.limits.maxFds=4100\nself.limits.linkMbps=1000.0\nself.limits.diskMb=0")
	line("network.listen.front=%s:%d\nnetwork.listen.ready=%s:%d", g.ip, p.front, g.ip, p.ready)
	line("network.listen.control=%s:%d\nnetwork.listen.directory=%s:%d", g.ip, p.control, g.ip, p.directory)
	line("network.seeds=%s", strings.Join(seeds, ","))
	for zone, region := range regions {
		line("network.zones.%s=%s", zone, region)
	}
	line("platform.discovery=platform\nplatform.entry=directory\nplatform.heartbeatMs=1500\nplatform.platform.address=%s", storeAddress)
	line("platform.platform.form=kv\nplatform.platform.writesPerS=400\nplatform.platform.readsPerS=2000\nplatform.platform.historyS=20")
	line("platform.platform.valueBytes=1048576\nplatform.platform.ttlMinMs=1000")
	line("terms.contracts=base,drain,config,cost,retry,recover,places,platform")
	line("terms.faultTolerance.machines=2\nterms.faultTolerance.zones=1\nterms.faultTolerance.regions=1")
	for _, bound := range strings.Fields(bounds + " " + terms) {
		line("terms.bounds.%s", bound)
	}
	return b.String()
}

// bounds are those of the site file that the claims name.
const bounds = `seedLagS=3 reuseDelayS=2 contactMs=4000 ackTimeoutMs=4000 catchUpS=4 drainTimeoutMs=2500 gracePeriodS=6
	lossSlackMs=200 configApplyMs=2500 rollbackSlackMs=250 outerMs=6000 retryBudgetRatio=0.2 budgetWindowS=10 budgetMinRetries=58
	warmupOverage=1.5 warmupSlack=5 evacuateMs=5000 recoveryS=15 ttl_max_s=5 maxShift=0.15`

func (g *gate) start() error {
	path := filepath.Join(g.folder, g.name+".conf")
	log, err := os.OpenFile(filepath.Join(g.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	g.log = log
	g.process = exec.Command(g.command[0], g.command[1:]...)
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYAHEAD_BOOT=" + path}
	g.process.Stdout, g.process.Stderr = log, log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.process.Start()
}

// kill ends the process at once.
func (g *gate) kill() {
	if g.process == nil || g.process.Process == nil {
		return
	}
	g.process.Process.Kill()
	g.process.Wait()
	g.process = nil
	g.log.Close()
}

// isReady asks the gate whether it is ready.
func (g *gate) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + g.ready + "/papayahead/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// freePorts returns n ports that are free at all the addresses now.
func freePorts(n int, addresses []string) ([]int, error) {
	var all []int
	for port := 21000 + os.Getpid()%20000; port < 65000 && len(all) < n; port++ {
		free := true
		for _, a := range addresses {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			all = append(all, port)
		}
	}
	if len(all) < n {
		return nil, fmt.Errorf("found %d free ports, want %d", len(all), n)
	}
	return all, nil
}
