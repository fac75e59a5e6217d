// Command chalkring is one coordinator: it searches many shards for one search. The environment variable GW_CONFIG names
// its plan. Without a command it serves.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine has a field for each command; kong takes the names of commands and flags from the fields.
type commandLine struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Work as a co-ordinator by the plan that GW_CONFIG names (what plain chalkring does)."`
	Check   checkCommand   `cmd:"" help:"Look at plans, installation files and host files as serve would, and say what is wrong with them."`
	Peers   peersCommand   `cmd:"" help:"Ask each peer that an installation file names how it stands."`
	Search  searchCommand  `cmd:"" help:"Send a search to either front and show what comes."`
	Version versionCommand `cmd:"" help:"Tell what was built."`
}

func main() {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP) // before anything else: no SIGHUP may end the program
	parsed := kong.Parse(&commandLine{}, kong.Name("chalkring"),
		kong.Description("A co-ordinator that reads many shards for one search."), kong.UsageOnError(), kong.Bind(hangUps))
	err := parsed.Run()
	var code exitCodeError
	switch {
	case errors.As(err, &code):
		os.Exit(int(code))
	case err != nil:
		fmt.Fprintln(os.Stderr, "chalkring:", err)
		os.Exit(1)
	}
}

// exitCodeError ends the program with its value as exit code and prints nothing: the command has reported its failure already.
type exitCodeError int

func (e exitCodeError) Error() string { return fmt.Sprint("exit code ", int(e)) }
