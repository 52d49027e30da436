//go:build review

// Command standin2 plays the script cases of the second review: it starts daemons as processes with
// the command of the deploy file, and stands in for the platform's store, the routers, the clients
// and the targets. All addresses are on loopback.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the script cases by name. Each returns the breaches of its rule.
var cases = map[string]func(s *site, hasTrouble bool) (breaches int, err error){
	"silent-leave":  silentLeave,
	"foreign-entry": foreignEntry,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play: "+strings.Join(caseNames(), ", "))
	daemonBinary := flag.String("daemon", "target/passtrayd", "the daemon's program")
	recordPath := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	hasTrouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitCannotRun
	}
	s, err := newSite(*daemonBinary, *recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		s.close()
		os.Exit(exitCannotRun)
	}()
	breaches, err := play(s, *hasTrouble)
	if err != nil {
		s.record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	s.record.note("breaches: %d", breaches)
	fmt.Printf("breaches: %d\n", breaches)
	if breaches > 0 {
		return exitBroken
	}
	return exitHeld
}

func caseNames() []string {
	var names []string
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
