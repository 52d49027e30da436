//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name. Each returns the number of times that the rule was broken.
var cases = map[string]func(site *site, hasTrouble bool) (broken int, err error){
	"late-write":   lateWrite,
	"cold-leaving": coldLeaving,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin late-write|cold-leaving PASSTRAYD RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, path string) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	site, err := newSite(binary, record)
	if site != nil {
		defer site.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		site.close()
		os.Exit(exitCannotRun)
	}()
	broken, err := cases[name](site, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.sayf("the case could not run: %s", err)
		return exitCannotRun
	case broken > 0:
		record.sayf("the rule was broken %d times", broken)
		return exitBroken
	}
	record.sayf("the rule held")
	return exitHeld
}
