// Command standin plays the cases of the review: it starts the programs of the project as the deploy file says, on
// loopback addresses, with stand-ins for the users' instances, clients and operators.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 118 * time.Second

func main() {
	path := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	flag.Parse()
	log.SetOutput(io.Discard) // the HTTP library tells of connections that servers close
	cases := map[string]func(*record, bool) int{
		"path": runPath, "voters": runVoters, "leaving": runLeaving, "own": runOwn,
		"snapshot": runSnapshot, "replaced": runReplaced, "drain": runDrain, "planned": runPlanned,
	}
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "name a case")
		os.Exit(cannotRun)
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, disruption: %v", flag.Arg(0), trouble)
	done := make(chan int, 1)
	go func() { done <- play(r, trouble) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	code := cannotRun
	select {
	case code = <-done:
	case <-time.After(timeLimit):
		r.say("not run: it took too long")
		current.Load().stopAll()
	case number := <-stopped:
		r.say("not run: %v", number)
		current.Load().stopAll()
	}
	r.say("result: %d", code)
	os.Exit(code)
}
