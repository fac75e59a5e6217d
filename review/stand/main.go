// Program stand plays what surrounds a coordinator (clients, replicas, discovery) for the cases of this folder, and checks a rule.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the checks by name. Each gets the record, the repository's root, whether to make the trouble, and a seed.
var cases = map[string]func(rec *record, root string, trouble bool, seed int64) (int, error){
	"stall-lost": stallLost, "stall-drain": stallDrain, "drain-held": drainHeld, "stall-leave": stallLeave, "random": playRandom,
}

func main() {
	runtime.LockOSThread() // the processes that are started end with this thread
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD; TROUBLE=0 leaves the disruption out, SEED chooses the traffic")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	code, err := cases[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0", seed)
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = notRun
	}
	os.Exit(code)
}
