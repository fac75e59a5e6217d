// Command benchlink plays co-ordinators on the simulator's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"chalkring/internal/benchwire"
)

func main() {
	if err := benchwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
