// Command review-2 runs the cases of review/6 to review/10: it starts the project's own program as separate processes, plays
// clients, replicas and discovery on loopback, and judges by what these see.
//
//	review-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// maxRun is how long a case may take in all.
const maxRun = 110 * time.Second

// verdict is what a case found.
type verdict struct {
	broken bool
	text   string
}

// notRun ends a case that could not run. It is the value of a panic.
type notRun struct{ why string }

// cases are those of the folders review/6 to review/10, in their order, and then those that the report names beside them.
var cases = map[string]func(*run) verdict{
	"second-copy":    secondCopy,
	"lease-ends":     leaseEnds,
	"open-id":        openID,
	"bad-file":       badFile,
	"hidden-request": hiddenRequest,

	"away-member":    awayMember,
	"endless-line":   endlessLine,
	"shed-after-run": shedAfterRun,
	"half-bodies":    halfBodies,
	"send-and-go":    sendAndGo,
}

func giveUp(format string, values ...any) { panic(notRun{fmt.Sprintf(format, values...)}) }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := runCase(r, cases[os.Args[1]])
	r.close()
	os.Exit(code)
}

func runCase(r *run, play func(*run) verdict) (code int) {
	done := make(chan int, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		runtime.LockOSThread() // the processes that it starts are killed when this thread ends
		defer func() {
			if p := recover(); p != nil {
				r.record("case", "NOT RUN: %v", p)
				why := fmt.Sprint(p)
				if n, ok := p.(notRun); ok {
					why = n.why
				}
				fmt.Println("not run:", why)
				done <- 2
			}
		}()
		v := play(r)
		if v.broken {
			r.record("case", "BROKEN: %s", v.text)
			fmt.Println("broken:", v.text)
			done <- 1
			return
		}
		r.record("case", "HELD: %s", v.text)
		fmt.Println("held:", v.text)
		done <- 0
	}()
	select {
	case code = <-done:
	case <-stop:
		r.record("case", "NOT RUN: stopped by a signal")
		code = 2
	case <-time.After(maxRun):
		r.record("case", "NOT RUN: over %s", maxRun)
		fmt.Println("not run: out of time")
		code = 2
	}
	return code
}
