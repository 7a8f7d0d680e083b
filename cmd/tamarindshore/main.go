// Tamarindshore is the real manager: it reads its start, runs until SIGTERM and prints its
// counters at the end and on SIGUSR1.
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
	start, err := config.Read(os.Getenv)
	if err != nil {
		fail(err)
	}
	n, err := node.New(start)
	if err != nil {
		fail(err)
	}
	signals, ended := make(chan os.Signal, 4), make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	go func() {
		for s := range signals {
			if s != syscall.SIGUSR1 {
				close(ended)
				return
			}
			log.Print("event=counters ", n.Counters())
		}
	}()
	if err := n.Run(ended); err != nil {
		fail(err)
	}
	log.Print("event=end ", n.Counters())
}

func fail(err error) {
	log.Print(err)
	os.Exit(1)
}
