// Tamarindshore assigns servers to proxies. Its commands stand in a file each; this one says which there are, what they
// share and how they end. What a test would want to call belongs to a package of internal/.
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
	exitFailed     = 1
	exitUsage      = 2
	exitBadVerdict = 3
)

// errBadVerdict ends a command whose verdict is printed already.
var errBadVerdict = errors.New("the verdict is not good")

type commands struct {
	Serve    serve           `cmd:"" default:"withargs" help:"Run the manager until SIGTERM. What no command means."`
	Check    checkCommand    `cmd:"" help:"Check files: the platform's JSON, or operator's settings as S-expressions."`
	Load     loadCommand     `cmd:"" help:"Load a manager with stand-ins on loopback and judge it by the five rules."`
	Tables   tablesCommand   `cmd:"" help:"Versions of the tables: what was sent, and the way back."`
	Store    storeCommand    `cmd:"" help:"The file in which versions survive a crash."`
	Search   searchCommand   `cmd:"" help:"Play seeded faults on a virtual clock until a rule breaks."`
	Replay   replayCommand   `cmd:"" help:"Play one script or seed again, with its trace; --shrink makes it smaller."`
	Scale    scaleCommand    `cmd:"" help:"Measure how costs grow with the size of a fleet, on hollow managers."`
	Capacity capacityCommand `cmd:"" help:"Hold a planned fleet against its budgets, by measured slopes."`
	Version  versionCommand  `cmd:"" help:"Say which version this is."`
}

func main() {
	p := notifySignals()
	all := &commands{}
	parser := kong.Must(all, kong.Name("tamarindshore"),
		kong.Description("A table manager: it assigns servers to proxies. Exit codes: 0 well, 1 failed, 2 the command line "+
			"can't be read, 3 the verdict is not good."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.UsageOnError())
	run, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "tamarindshore: %v; see tamarindshore --help\n", err)
		os.Exit(exitUsage)
	}
	if run.Command() != "serve" {
		signal.Reset()
	}
	switch err := run.Run(all, p); {
	case errors.Is(err, errBadVerdict):
		os.Exit(exitBadVerdict)
	case err != nil:
		fmt.Fprintln(os.Stderr, "tamarindshore:", err)
		os.Exit(exitFailed)
	}
}
