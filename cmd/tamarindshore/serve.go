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
	Settings string `help:"Operator's settings; without, all have their defaults." placeholder:"FILE" env:"TAMARINDSHORE_SETTINGS"`
}

func (c serve) Help() string {
	return "The address, the name and all else come from PROXY_LISTEN, PROXY_DISCOVERY, PROXY_NAME and the JSON file that " +
		"PROXY_CONFIG names. SIGUSR1 logs the counters, SIGHUP takes the JSON file anew, SIGTERM ends."
}

// process is what the system gives this process: what ends it, and the other signals that it takes.
type process struct {
	ctx     context.Context
	signals node.Signals
}

// notifySignals takes the process's signals from now on; it is the first that main does. Guards against a SIGHUP before
// the start is read, which would end the process, against an end that finds no room behind other signals, and against an
// end because the reader of the log went away.
func notifySignals() process {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// One signal that waits is enough: it asks for what stands when it is taken.
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

// readConfig joins what the platform tells, as read says, to the operator's settings.
func readConfig(read func(func(string) string) (config.Config, error), operator config.OperatorSettings) (config.Config, error) {
	told, err := read(os.Getenv)
	if err != nil {
		return told, err
	}
	return told.WithOperator(operator)
}
