package fleet

import "syscall"

const (
	sigCont = syscall.SIGCONT
	sigStop = syscall.SIGSTOP
)

// Freeze stops a process as a paused machine would.
func (p *Process) Freeze() bool { return p.Signal(sigStop) }

// Thaw lets a frozen process go on as if nothing had happened.
func (p *Process) Thaw() bool { return p.Signal(sigCont) }
