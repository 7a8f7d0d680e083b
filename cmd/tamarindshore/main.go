// Tamarindshore is the real manager: it reads its start and runs until SIGTERM. It prints its
// counters at the end and on SIGUSR1, and takes its file anew on SIGHUP.
package main

import (
	"log"
	"os"
	"os/signal"
	"syscall"

	"tamarindshore/internal/config"
	"tamarindshore/internal/node"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	signals := make(chan os.Signal, 64)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	start, err := config.Read(os.Getenv)
	if err == nil {
		var n *node.Node
		if n, err = node.New(start); err == nil {
			err = n.Run(signals, func() (config.Start, error) { return config.Reread(os.Getenv) })
		}
	}
	if err != nil {
		log.Print(err)
		os.Exit(1)
	}
}
