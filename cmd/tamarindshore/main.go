// Tamarindshore assigns servers to proxies. Each command has its own file; main.go lists the commands and maps their
// errors to exit codes. Logic that needs tests of its own belongs in a package under internal/.
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
	exitFailed    = 1 // the command failed; the last line on standard error gives the reason
	exitUsage     = 2 // invalid command line
	exitViolation = 3 // the command completed, but the results violate a rule or exceed a budget
)

// errViolation is returned by a command that completed and has already printed the violations that it found.
var errViolation = errors.New("a rule is violated or a budget is exceeded")

// commands defines the command line for kong.
type commands struct {
	Serve    serveCommand    `cmd:"" default:"withargs" help:"Run the manager until SIGTERM. This is the default command."`
	Check    checkCommand    `cmd:"" help:"Validate files: the platform's JSON, or operator settings as S-expressions."`
	Load     loadCommand     `cmd:"" help:"Load-test a manager against fakes on loopback, and check the platform's five rules."`
	Tables   tablesCommand   `cmd:"" help:"List and compare versions of the tables, roll back, hold and resume."`
	Store    storeCommand    `cmd:"" help:"Check, compact or export the file that preserves versions across a crash."`
	Search   searchCommand   `cmd:"" help:"Simulate random faults, drawn from seeds, on a virtual clock until a rule is violated."`
	Replay   replayCommand   `cmd:"" help:"Replay a fault script or seed and print its trace; --shrink minimizes the script."`
	Scale    scaleCommand    `cmd:"" help:"Measure how costs grow with the size of the fleet, using hollow managers."`
	Capacity capacityCommand `cmd:"" help:"Compare a planned fleet with its budgets, based on measured cost slopes."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

func main() {
	signals := notifySignals()
	root := &commands{}
	parser := kong.Must(root, kong.Name("tamarindshore"),
		kong.Description("A table manager: it assigns servers to proxies. Exit codes: 0 success, 1 failure, 2 invalid command "+
			"line, 3 a rule is violated or a budget is exceeded."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.UsageOnError())
	context, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "tamarindshore: %v; see tamarindshore --help\n", err)
		os.Exit(exitUsage)
	}
	if context.Command() != "serve" {
		signal.Reset()
	}
	switch err := context.Run(root, signals); {
	case errors.Is(err, errViolation):
		os.Exit(exitViolation)
	case err != nil:
		fmt.Fprintln(os.Stderr, "tamarindshore:", err)
		os.Exit(exitFailed)
	}
}
