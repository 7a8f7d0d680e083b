// Simulator-adapter runs the balancer on the lines of the simulator, from standard input
// to standard output.
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
