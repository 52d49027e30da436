//go:build review

package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const readyPath = "/passtray/ready"

// daemon is one process of the system on a machine of its own.
type daemon struct {
	name, zone               string
	control, telemetry, data netip.AddrPort
	settings                 string
	front                    *storeFront

	mutex sync.Mutex
	// startedAt is when the process last started, troubledUntil until when its machine is under a
	// disruption. The machine is in touch contactTime after both.
	startedAt, troubledUntil time.Time
	command                  *exec.Cmd
}

// settingsTemplate is what deploy/settings.yaml gives with the settings of a small deployment.
const settingsTemplate = `name: %q
region: "kol-east"
zone: %q
control: %q
peers: [%s]
telemetry: %q
ready_path: "` + readyPath + `"
data:
  listen: %q
  retention: "60s"
bounds:
  converge: "3000ms"
  leave: "3000ms"
  grace: "6s"
limits:
  link: 1000
  processor: 0.4
  memory: 284
store:
  address: %q
  renewal: "1200ms"
`

func (d *daemon) writeSettings(directory, seeds string, store netip.AddrPort) error {
	d.settings = filepath.Join(directory, d.name+".yaml")
	content := fmt.Sprintf(settingsTemplate, d.name, d.zone, d.control, seeds, d.telemetry, d.data, store)
	return os.WriteFile(d.settings, []byte(content), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(binary, directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(directory, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command(binary, "--source", "store", "--settings", d.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.command, d.startedAt = command, time.Now()
	return nil
}

func (d *daemon) kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command != nil {
		_ = d.command.Process.Kill()
		_ = d.command.Wait()
		d.command = nil
	}
}

// trouble records that a disruption of the machine begins or goes on until a time.
func (d *daemon) trouble(until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.troubledUntil = until
}

// isInTouch reports whether the machine was in touch at a time.
func (d *daemon) isInTouch(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return at.Sub(d.startedAt) >= contactTime && (d.troubledUntil.IsZero() || at.Sub(d.troubledUntil) >= contactTime)
}
