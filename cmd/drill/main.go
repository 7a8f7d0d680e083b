// Drill runs the decision module on the simulator's lines, from standard input
// to standard output.
package main

import (
	"fmt"
	"os"

	"tamarindshore/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
