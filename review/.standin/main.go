// Command standin plays the cases of the review: it starts the programs of the project as the deploy file says, on
// loopback addresses, with stand-ins for the users' instances, clients and operators.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"os"
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
	cases := map[string]func(*record, bool) int{"own": runOwn, "drain": runDrain, "snapshot": runSnapshot, "voters": runVoters, "replaced": runReplaced, "planned": runPlanned}
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
	code := cannotRun
	select {
	case code = <-done:
	case <-time.After(timeLimit):
		r.say("not run: it took too long")
	}
	r.say("result: %d", code)
	os.Exit(code)
}
