// Tamarindshore assigns servers to proxies. Each command has a file of its own; main.go lists the commands and maps
// their errors to exit codes. Logic that a test would call belongs to a package of internal/.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

// Exit codes; 0 is success.
const (
	exitFailed     = 1 // the command failed; the last line on standard error says why
	exitUsage      = 2 // invalid command line
	exitBadVerdict = 3 // the command ran, and what it checked is not as it should be
)

// errBadVerdict is returned by a command that has already printed its verdict.
var errBadVerdict = errors.New("the verdict is not good")

// commands is the command line, as kong parses it.
type commands struct {
	Serve    serve           `cmd:"" default:"withargs" help:"Run the manager until SIGTERM. This is the default command."`
	Check    checkCommand    `cmd:"" help:"Validate files: the platform's JSON, or operator settings as S-expressions."`
	Load     loadCommand     `cmd:"" help:"Load-test a manager with fakes on loopback and check the five rules."`
	Tables   tablesCommand   `cmd:"" help:"List and compare versions of the tables, roll back, hold and resume."`
	Store    storeCommand    `cmd:"" help:"Check, compact or export the file in which versions survive a crash."`
	Search   searchCommand   `cmd:"" help:"Simulate seeded faults on a virtual clock until a rule is violated."`
	Replay   replayCommand   `cmd:"" help:"Replay one fault script or seed and print its trace; --shrink minimizes the script."`
	Scale    scaleCommand    `cmd:"" help:"Measure how costs grow with the size of a fleet, with hollow managers."`
	Capacity capacityCommand `cmd:"" help:"Compare a planned fleet with its budgets, by measured cost slopes."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

func main() {
	p := notifySignals()
	all := &commands{}
	parser := kong.Must(all, kong.Name("tamarindshore"),
		kong.Description("A table manager: it assigns servers to proxies. Exit codes: 0 success, 1 failure, 2 invalid command "+
			"line, 3 bad verdict."),
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
