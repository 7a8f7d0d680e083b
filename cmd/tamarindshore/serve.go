package main

import (
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

// Run serves until SIGTERM.
func (s serve) Run() error {
	signals := make(chan os.Signal, 64)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	operator := config.Defaults()
	if s.Settings != "" {
		var err error
		if operator, err = config.ReadOperator(s.Settings); err != nil {
			return err
		}
	}
	start, err := config.Read(os.Getenv)
	if err == nil {
		start, err = start.With(operator)
	}
	if err != nil {
		return err
	}
	n, err := node.New(start, os.Stderr)
	if err != nil {
		return err
	}
	return n.Run(signals, func() (config.Start, error) {
		next, err := config.Reread(os.Getenv)
		if err != nil {
			return next, err
		}
		return next.With(operator)
	})
}
