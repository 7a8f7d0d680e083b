// Tamarindshore assigns servers to proxies. Its commands stand in a file each; this one says which there are, what
// they share and how they end. It must hold nothing that a test would want to call.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

// Exit codes: 0, all went well; 1, the command failed, in one line on standard error; 2, the command line can't be
// read; 3, what was tried came to a verdict that is not good.
const (
	failed  = 1
	unread  = 2
	notGood = 3
)

// errNotGood ends a command whose verdict is printed already.
var errNotGood = errors.New("the verdict is not good")

type commands struct {
	Serve    serve       `cmd:"" default:"withargs" help:"Run the manager until SIGTERM. What no command means."`
	Check    check       `cmd:"" help:"Check files: the platform's JSON, or operator's settings as S-expressions."`
	Load     loads       `cmd:"" help:"Load a manager with stand-ins on loopback and judge it by the five rules."`
	Tables   tablesCmd   `cmd:"" help:"Versions of the tables: what was sent, and the way back."`
	Store    storeCmd    `cmd:"" help:"The file in which versions survive a crash."`
	Search   searchCmd   `cmd:"" help:"Play seeded faults on a virtual clock until a rule breaks."`
	Replay   replayCmd   `cmd:"" help:"Play one script or seed again, with its trace; --shrink makes it smaller."`
	Scale    scaleCmd    `cmd:"" help:"Measure how costs grow with the size of a fleet, on hollow managers."`
	Capacity capacityCmd `cmd:"" help:"Hold a planned fleet against its budgets, by measured slopes."`
	Version  version     `cmd:"" help:"Say which version this is."`
}

func main() {
	p := heed()
	all := &commands{}
	parser := kong.Must(all, kong.Name("tamarindshore"),
		kong.Description("A table manager: it assigns servers to proxies. Exit codes: 0 well, 1 failed, 2 the command line "+
			"can't be read, 3 the verdict is not good."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.UsageOnError())
	run, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "tamarindshore: %v; see tamarindshore --help\n", err)
		os.Exit(unread)
	}
	if run.Command() != "serve" {
		signal.Reset()
	}
	switch err := run.Run(all, p); {
	case errors.Is(err, errNotGood):
		os.Exit(notGood)
	case err != nil:
		fmt.Fprintln(os.Stderr, "tamarindshore:", err)
		os.Exit(failed)
	}
}
