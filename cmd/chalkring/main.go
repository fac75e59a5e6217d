// Command chalkring is one co-ordinator; GW_CONFIG names its plan.
package main

import (
	"context"
	"log"
	"net"
	"os"
	"os/signal"
	"syscall"

	"chalkring/coordinator"
)

func main() {
	logger := log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP) // first of all: none may end the program
	plan, err := coordinator.Read(os.Getenv)
	if err != nil {
		logger.Fatalf("event=no_start error=%q", err)
	}
	plan.Bound()
	ln, err := net.Listen("tcp", plan.Listen)
	if err != nil {
		logger.Fatalf("event=no_start error=%q", err)
	}
	if err := plan.Serve(ctx, coordinator.Means{Listener: ln, Dial: (&net.Dialer{}).DialContext,
		Clock: coordinator.SystemClock{}, Log: logger,
		Plans: coordinator.Reloads(ctx, plan, hangUps, os.Getenv, logger)}); err != nil {
		logger.Fatalf("event=failed error=%q", err)
	}
}
