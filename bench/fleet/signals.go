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
	// freezeTimeout is long because a busy machine stops the threads of a process one by one.
	freezeTimeout      = 10 * time.Second
	freezePollInterval = time.Millisecond
)

// Freeze sends SIGSTOP and returns once all threads have stopped; until then the
// process may still receive data. It reports whether all threads stopped in time.
func (p *Process) Freeze() bool {
	if !p.Signal(sigStop) {
		return false
	}
	for until := time.Now().Add(freezeTimeout); time.Now().Before(until); time.Sleep(freezePollInterval) {
		if allThreadsStopped(p.PID()) {
			return true
		}
	}
	return false
}

// allThreadsStopped reports whether all threads of a process are in the stopped state.
func allThreadsStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			return false
		}
		// The state follows the parenthesized name, which may contain any character.
		_, state, _ := strings.Cut(string(text[strings.LastIndex(string(text), ")")+1:]), " ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() bool { return p.Signal(sigCont) }
