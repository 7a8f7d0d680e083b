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

func (s serve) Help() string {
	return "The address, the name and all else come from PROXY_LISTEN, PROXY_DISCOVERY, PROXY_NAME and the JSON file that " +
		"PROXY_CONFIG names. SIGUSR1 logs the counters, SIGHUP takes the JSON file anew, SIGTERM ends."
}

// process is what the system gives this process: what ends it, and the other signals that it heeds.
type process struct {
	ctx     context.Context
	signals node.Signals
}

// heed takes the process's signals from now on; it is the first that main does. Guards against a SIGHUP before the start
// is read, which would end the process, against an end that finds no room behind other signals, and against an end
// because the reader of the log went away.
func heed() process {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// one that waits is enough: it asks for what stands when it is taken
	reload, count := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(count, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE)
	return process{ctx, node.Signals{Reload: reload, LogCounters: count}}
}

// Run serves until SIGTERM.
func (s serve) Run(p process) error {
	operator := config.DefaultOperatorSettings()
	if s.Settings != "" {
		var err error
		if operator, err = config.ReadOperatorSettings(s.Settings); err != nil {
			return err
		}
	}
	start, err := config.Read(os.Getenv)
	if err == nil {
		start, err = start.WithOperator(operator)
	}
	if err != nil {
		return err
	}
	n, err := node.New(start, os.Stderr)
	if err != nil {
		return err
	}
	return n.Run(p.ctx, p.signals, func() (config.Config, error) {
		next, err := config.Reread(os.Getenv)
		if err != nil {
			return next, err
		}
		return next.WithOperator(operator)
	})
}
