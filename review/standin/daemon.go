//go:build review

package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const readyPath = "/passtray/ready"

// daemon is a process of passtrayd.
type daemon struct {
	name, zone     string
	data           netip.AddrPort
	readyURL       string
	binary, config string
	logFile        *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// settingsTemplate is deploy/settings.yaml with the figures of a small deployment.
const settingsTemplate = `name: "%s"
region: "kol-east"
zone: "%s"
control: "%s"
peers: [%s]
telemetry: "%s"
ready_path: "%s"
data:
  listen: "%s"
  retention: "60s"
bounds:
  converge: "3000ms"
  leave: "3000ms"
  grace: "6s"
limits:
  link: 1000.0
  processor: 0.4
  memory: 284
store:
  address: "%s"
  renewal: "1200ms"
`

func (d *daemon) writeSettings(directory, control, seeds, telemetry, store string) error {
	d.config = filepath.Join(directory, d.name+".yaml")
	content := fmt.Sprintf(settingsTemplate, d.name, d.zone, control, seeds, telemetry, readyPath, d.data, store)
	if err := os.WriteFile(d.config, []byte(content), 0o600); err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(directory, d.name+".log"))
	d.logFile = logFile
	return err
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	command := exec.Command(d.binary, "--source", "store", "--settings", d.config)
	command.Stdout, command.Stderr = d.logFile, d.logFile
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // the exit status is not judged
		close(exited)
	}()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.command, d.exited = command, exited
	return nil
}

func (d *daemon) current() (*exec.Cmd, chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.command, d.exited
}

// restart stops the process as planned, with SIGTERM and after GraceS with SIGKILL, and starts it again.
func (d *daemon) restart() error {
	command, exited := d.current()
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		_ = command.Process.Kill()
		<-exited
	}
	time.Sleep(300 * time.Millisecond)
	return d.start()
}

func (d *daemon) kill() {
	if command, exited := d.current(); command != nil {
		_ = command.Process.Kill()
		<-exited
	}
}

func (d *daemon) isReady(client *http.Client) bool {
	response, err := client.Get(d.readyURL)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
