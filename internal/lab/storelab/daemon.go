package storelab

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"
)

// daemon manages one daemon's process, settings file, log and proxy to the store.
type daemon struct {
	name   string
	binary string
	// settings is the path of the settings file.
	settings   string
	logFile    *os.File
	storeProxy *proxy

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// processNumber is the number of processes started so far, isStopping whether the current one
	// was sent SIGTERM or SIGKILL.
	processNumber int
	isStopping    bool
	// runningSince is since when the Go runtime of the current process is known to run, zero before.
	runningSince time.Time
	// onUnexpectedExit is called when a process exits without having been sent either signal.
	onUnexpectedExit func(d *daemon, state string)
}

// daemonConfig holds the variable parts of a daemon's settings.
type daemonConfig struct {
	name, zone               string
	control, telemetry, data netip.AddrPort
	store                    netip.AddrPort
	seeds                    []netip.AddrPort
	bounds                   Bounds
}

// readyPath is the path of the readiness probe.
const readyPath = "/readyz"

func (p *daemonConfig) settings() ([]byte, error) {
	seeds := []string{}
	for _, seed := range p.seeds {
		seeds = append(seeds, seed.String())
	}
	return yaml.Marshal(map[string]any{
		"name": p.name, "region": "soak", "zone": p.zone, "control": p.control.String(), "peers": seeds,
		"telemetry": p.telemetry.String(), "ready_path": readyPath,
		"data":   map[string]any{"listen": p.data.String()},
		"store":  map[string]any{"address": p.store.String()},
		"bounds": map[string]any{"converge": p.bounds.Converge.String(), "leave": p.bounds.Drain.String()},
	})
}

// newDaemon writes a daemon's settings without starting it.
func newDaemon(binary, directory string, config *daemonConfig, storeProxy *proxy) (*daemon, error) {
	content, err := config.settings()
	if err != nil {
		return nil, err
	}
	d := &daemon{name: config.name, binary: binary, settings: filepath.Join(directory, config.name+".yaml"), storeProxy: storeProxy}
	if err := os.WriteFile(d.settings, content, 0o600); err != nil {
		return nil, err
	}
	d.logFile, err = os.Create(filepath.Join(directory, config.name+".log"))
	return d, err
}

// start starts the process unless it is running already; several faults may restart one daemon
// concurrently.
func (d *daemon) start() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.isRunning() {
		return nil
	}
	command := exec.Command(d.binary, "--source", "store", "--settings", d.settings)
	command.Stdout, command.Stderr = d.logFile, d.logFile
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.command, d.exited, d.isStopping, d.runningSince = command, exited, false, time.Time{}
	d.processNumber++
	go func() {
		_ = command.Wait() // ProcessState holds the exit status
		close(exited)
		if d.onUnexpectedExit != nil && !d.wasStopped(command) {
			d.onUnexpectedExit(d, command.ProcessState.String())
		}
	}()
	return nil
}

// wasStopped reports whether a process was sent SIGTERM or SIGKILL, which is assumed of a process
// that was replaced already.
func (d *daemon) wasStopped(command *exec.Cmd) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.isStopping || d.command != command
}

// currentProcess returns the number of the running process, 0 if there is none.
func (d *daemon) currentProcess() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.isRunning() {
		return 0
	}
	return d.processNumber
}

func (d *daemon) isRunning() bool {
	if d.command == nil {
		return false
	}
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process. It has no effect if the process has exited.
func (d *daemon) signal(signal os.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.sendSignal(signal)
}

// signalStarted sends a signal unless the process has run for less than startSignalDelay, and reports
// whether it did. On a busy machine it may take longer than that until a new process runs.
func (d *daemon) signalStarted(signal os.Signal) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.runningSince.IsZero() && d.catchesSignals() {
		d.runningSince = time.Now()
	}
	if d.runningSince.IsZero() || time.Since(d.runningSince) < startSignalDelay {
		return false
	}
	d.sendSignal(signal)
	return true
}

// catchesSignals reports whether the Go runtime of the process has installed its signal handlers, which
// it does before the program's own code runs. Of a process that has exited it reports true.
func (d *daemon) catchesSignals() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return true
	}
	_, caught, _ := strings.Cut(string(status), "SigCgt:")
	caught, _, _ = strings.Cut(strings.TrimSpace(caught), "\n")
	mask, err := strconv.ParseUint(caught, 16, 64)
	return err != nil || mask&(1<<(syscall.SIGHUP-1)) != 0
}

// sendSignal sends a signal. The caller must hold the mutex.
func (d *daemon) sendSignal(signal os.Signal) {
	if d.command == nil {
		return
	}
	d.isStopping = d.isStopping || signal == syscall.SIGTERM || signal == syscall.SIGKILL
	_ = d.command.Process.Signal(signal)
}

// terminate sends a signal that ends the process, and returns the channel that is closed when that
// process has exited, even if another action has started the next one.
func (d *daemon) terminate(signal os.Signal) <-chan struct{} {
	d.mutex.Lock()
	exited := d.exited
	d.mutex.Unlock()
	d.signal(signal)
	return exited
}

// kill sends SIGKILL and waits for the process to exit.
func (d *daemon) kill() { <-d.terminate(syscall.SIGKILL) }

func (d *daemon) close() {
	d.kill()
	_ = d.logFile.Close()
	d.storeProxy.close()
}
