package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tamarindshore/internal/config"
	"tamarindshore/internal/node"
)

type serveCommand struct {
	Settings string `help:"Operator settings file; without it, defaults apply." placeholder:"FILE" env:"TAMARINDSHORE_SETTINGS"`
}

// Help returns the detailed help text.
func (c serveCommand) Help() string {
	return "The name, the addresses and the rest of the configuration come from PROXY_LISTEN, PROXY_DISCOVERY, PROXY_NAME " +
		"and the JSON file at the path in PROXY_CONFIG. SIGUSR1 logs the counters, SIGHUP reloads the JSON file, SIGTERM shuts down."
}

// process provides the signals that this process receives: SIGTERM and SIGINT cancel ctx, the others are passed to the
// manager.
type process struct {
	ctx     context.Context
	signals node.Signals
}

// notifySignals starts handling the process's signals. main calls it first, because a SIGHUP that arrives before the
// configuration is read must not terminate the process. SIGTERM has a channel of its own, so that it never waits behind
// other signals. SIGPIPE is ignored, so that the process survives when the reader of its log exits.
func notifySignals() process {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// A buffer of one is enough: several pending signals of one kind have the same effect as one.
	reload := make(chan os.Signal, 1)
	logCounters := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(logCounters, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE)
	return process{ctx, node.Signals{Reload: reload, LogCounters: logCounters}}
}

// Run runs the manager until SIGTERM or SIGINT.
func (c serveCommand) Run(p process) error {
	operator := config.DefaultOperatorSettings()
	if c.Settings != "" {
		var err error
		if operator, err = config.ReadOperatorSettings(c.Settings); err != nil {
			return err
		}
	}
	started, err := readConfig(config.Read, operator)
	if err != nil {
		return err
	}
	manager, err := node.New(started, os.Stderr)
	if err != nil {
		return err
	}
	reload := func() (config.Config, error) { return readConfig(config.Reread, operator) }
	return manager.Run(p.ctx, p.signals, reload)
}

// readConfig reads the platform's configuration and merges the operator's settings into it.
func readConfig(read func(func(string) string) (config.Config, error), operator config.OperatorSettings) (config.Config, error) {
	platform, err := read(os.Getenv)
	if err != nil {
		return platform, err
	}
	return platform.WithOperator(operator)
}
