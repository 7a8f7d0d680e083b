// Simulator-adapter connects the balancer to the simulator: it reads the simulator's events from standard input and
// writes the balancer's actions to standard output.
package main

import (
	"fmt"
	"os"

	"tamarindshore/internal/simprotocol"
)

func main() {
	if err := simprotocol.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}
