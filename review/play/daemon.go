package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is a member of the cell that can be killed and started again with the
// same settings.
type daemon struct {
	environment  *environment
	name         string
	caller       netip.AddrPort
	readiness    netip.AddrPort
	peer         netip.AddrPort
	settingsFile string
	logFile      string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// newDaemon writes the settings of member i, from the template that the deploy
// file names.
func (e *environment) newDaemon(i int) (*daemon, error) {
	var addresses [4]netip.AddrPort
	for i := range addresses {
		var err error
		if addresses[i], err = e.freePort(); err != nil {
			return nil, err
		}
	}
	template, err := os.ReadFile(e.template)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		environment:  e,
		name:         fmt.Sprintf("edge-%d", i),
		caller:       addresses[0],
		readiness:    addresses[1],
		peer:         addresses[2],
		settingsFile: filepath.Join(e.dir, fmt.Sprintf("edge-%d.yaml", i)),
		logFile:      filepath.Join(e.dir, fmt.Sprintf("edge-%d.log", i)),
	}
	_, store := e.site.StoreEndpoint(i)
	values := strings.NewReplacer(
		"{{node_name}}", d.name,
		"{{zone}}", "a",
		"{{listen.frontend}}", d.caller.String(),
		"{{listen.readiness}}", d.readiness.String(),
		"{{ip}}:{{internal_ports.0}}", d.peer.String(),
		"{{ip}}:{{internal_ports.1}}", addresses[3].String(),
		"{{platform.address}}", store.String(),
		"{{advice}}", e.advice.String(),
		"{{cloud_api.address}}", e.machines,
		"{{limits.cpu_share}}", fmt.Sprint(cpuShare),
		"{{limits.memory_mb}}", fmt.Sprint(memoryMB),
		"{{limits.max_fds}}", fmt.Sprint(maxFiles),
		"{{bounds.grace_s}}", fmt.Sprint(shutdownGrace.Seconds()),
		"{{bounds.max_hold_ms}}", fmt.Sprint(maxHold.Milliseconds()),
		"{{bounds.stop_grace_ms}}", fmt.Sprint(stopGrace.Milliseconds()),
		"{{bounds.status_s}}", fmt.Sprint(retention.Seconds()),
		"{{bounds.remote_factor}}", fmt.Sprint(remoteFactor),
	)
	if err := os.WriteFile(d.settingsFile, []byte(values.Replace(string(template))), 0o600); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.daemons = append(e.daemons, d)
	e.mu.Unlock()
	return d, nil
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(d.environment.binary, "cell", "--settings", d.settingsFile)
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		// The status is of no interest: the cases kill daemons.
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(d.command, d.exited)
	d.environment.note("%s: started, process %d", d.name, d.command.Process.Pid)
	return nil
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGKILL)
	<-d.exited
	d.command = nil
	d.environment.note("%s: killed", d.name)
}

// ready reports whether the daemon takes connections.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.readiness.String() + "/tanagersail/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// scheduler returns the daemon that schedules: the last one to log that it took
// over. It returns nil if there is none.
func (e *environment) scheduler() *daemon {
	var found *daemon
	var epoch int
	for _, d := range e.daemons {
		content, err := os.ReadFile(d.logFile)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			var n int
			_, value, ok := strings.Cut(line, " epoch=")
			if !ok || !strings.Contains(line, "event=takeover_done") {
				continue
			}
			if _, err := fmt.Sscan(value, &n); err == nil && n > epoch {
				found, epoch = d, n
			}
		}
	}
	return found
}

// restartScheduler kills the daemon that schedules and starts it again after
// restartPause.
func (e *environment) restartScheduler() error {
	d := e.scheduler()
	if d == nil {
		return errNoScheduler
	}
	e.note("%s is the scheduler and is killed", d.name)
	d.kill()
	time.Sleep(restartPause)
	return d.start()
}
