package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	sigCont = syscall.SIGCONT
	sigStop = syscall.SIGSTOP
	// stopPatience bounds how long a process may take to stop; on a busy machine its threads do so one by one.
	stopPatience = 10 * time.Second
	stopPoll     = time.Millisecond
)

// Freeze stops a process as a paused machine would. It returns once all its threads stand still: until then
// the process may still take what is sent to it.
func (p *Process) Freeze() bool {
	if !p.Signal(sigStop) {
		return false
	}
	for until := time.Now().Add(stopPatience); time.Now().Before(until); time.Sleep(stopPoll) {
		if stands(p.PID()) {
			return true
		}
	}
	return false
}

// stands reports whether all threads of a process are stopped.
func stands(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			return false
		}
		// The state follows the name, which may hold anything, in brackets.
		_, state, _ := strings.Cut(string(text[strings.LastIndex(string(text), ")")+1:]), " ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Thaw lets a frozen process go on as if nothing had happened.
func (p *Process) Thaw() bool { return p.Signal(sigCont) }
