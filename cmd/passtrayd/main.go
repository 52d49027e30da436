// Command passtrayd is the one daemon of a passtray fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/passtray/passtray/internal/node"
	"github.com/passtray/passtray/internal/settings"
	"github.com/passtray/passtray/internal/telemetry"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Settings      string `short:"s" long:"settings" description:"settings file (YAML)" required:"true"`
	CheckSettings bool   `long:"check-settings" description:"check the settings, print every fault, and exit"`
	Zone          string `long:"zone" description:"replaces zone in the settings"`
	Region        string `long:"region" description:"replaces region in the settings"`
	Control       string `long:"control" description:"replaces control in the settings (IP:port)"`
	LogLevel      string `long:"log-level" description:"replaces log.level in the settings"`
	LogFormat     string `long:"log-format" description:"replaces log.format in the settings"`
}

func (o *options) overrides() map[string]any {
	overrides := map[string]any{}
	for field, value := range map[string]string{
		"zone": o.Zone, "region": o.Region, "control": o.Control,
		"log.level": o.LogLevel, "log.format": o.LogFormat,
	} {
		if value != "" {
			overrides[field] = value
		}
	}
	return overrides
}

func main() { os.Exit(run()) }

func run() int {
	var given options
	if _, err := flags.Parse(&given); err != nil {
		var fault *flags.Error
		if errors.As(err, &fault) && fault.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	loaded, err := settings.Load(given.Settings, given.overrides())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if given.CheckSettings {
		fmt.Println("settings are in order")
		return exitOK
	}
	return serve(loaded)
}

func serve(loaded settings.Settings) int {
	log, err := telemetry.NewLogger(loaded.Log.Level, loaded.Log.Format)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	daemon, err := node.Start(loaded, log, node.Options{})
	if err != nil {
		log.Error(err, "cannot start")
		return exitFailed
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		if err := daemon.ReloadKeys(); err != nil {
			log.Error(err, "keys were not reloaded; the old ones stay in use")
			continue
		}
		log.Info("keys reloaded")
	}
	// A second signal ends the wait.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon.Drain(ctx)
	daemon.Kill()
	return exitOK
}
