// Command benchlink plays co-ordinators on the simulator's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"chalkring/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
