package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tamarindshore/internal/config"
	"tamarindshore/internal/node"
)

type serve struct {
	Settings string `help:"Operator settings; without a file, all have their defaults." placeholder:"FILE" env:"TAMARINDSHORE_SETTINGS"`
}

// Help explains the command.
func (c serve) Help() string {
	return "The name, the addresses and the rest of the configuration come from PROXY_LISTEN, PROXY_DISCOVERY, PROXY_NAME " +
		"and the JSON file that PROXY_CONFIG names. SIGUSR1 logs the counters, SIGHUP reloads the JSON file, SIGTERM shuts down."
}

// process has the signals of this process: ctx ends at SIGTERM and SIGINT, the others go to the manager.
type process struct {
	ctx     context.Context
	signals node.Signals
}

// notifySignals subscribes to the process's signals; main calls it first. A SIGHUP that arrives before the configuration
// is read must not end the process, a SIGTERM must not wait behind other signals, and a log without a reader (SIGPIPE)
// must not end the process.
func notifySignals() process {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// A buffer of one is enough: a signal asks for the state at the time when it is handled.
	reload := make(chan os.Signal, 1)
	logCounters := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(logCounters, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE)
	return process{ctx, node.Signals{Reload: reload, LogCounters: logCounters}}
}

// Run serves until SIGTERM.
func (c serve) Run(p process) error {
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

// readConfig reads the platform's configuration and adds the operator's settings.
func readConfig(read func(func(string) string) (config.Config, error), operator config.OperatorSettings) (config.Config, error) {
	platform, err := read(os.Getenv)
	if err != nil {
		return platform, err
	}
	return platform.WithOperator(operator)
}
