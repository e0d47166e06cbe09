// Package fleet starts a complete deployment on loopback for tests and
// experiments: control members, routers, agents and simulated back ends, each
// in its own process, with a fault proxy on every network path between them.
package fleet

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is one process of the deployment. It can be started again after it
// has ended.
type Process struct {
	Name string
	// Role is control, router, agent or backend.
	Role string

	binary    string
	arguments []string
	logPath   string

	mutex     sync.Mutex
	command   *exec.Cmd
	done      chan struct{}
	exitError error
	ready     chan struct{}
	fields    map[string]string
	usage     Usage
}

const processTimeout = 20 * time.Second

func newProcess(name, role, binary, logPath string, arguments []string) *Process {
	return &Process{Name: name, Role: role, binary: binary, logPath: logPath, arguments: arguments}
}

// Start starts the process and waits until its log reports that it is listening.
func (p *Process) Start() error {
	if err := p.launch(); err != nil {
		return err
	}
	p.mutex.Lock()
	ready, done := p.ready, p.done
	p.mutex.Unlock()
	select {
	case <-ready:
		return nil
	case <-done:
		return eris.Errorf("%s %s ended at once (%v); see %s", p.Role, p.Name, p.exitError, p.logPath)
	case <-time.After(processTimeout):
		return eris.Errorf("%s %s did not say that it is listening; see %s", p.Role, p.Name, p.logPath)
	}
}

func (p *Process) launch() error {
	const mode = 0o640
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return eris.Wrapf(err, "open log of %s", p.Name)
	}
	command := exec.Command(p.binary, p.arguments...)
	// The child gets its own process group, so that a signal from the terminal
	// reaches only this tool, which decides how to stop the child.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Stderr = logFile
	stdout, err := command.StdoutPipe()
	if err != nil {
		logFile.Close()
		return eris.Wrapf(err, "pipe log of %s", p.Name)
	}
	if err := command.Start(); err != nil {
		logFile.Close()
		return eris.Wrapf(err, "start %s", p.Name)
	}
	p.mutex.Lock()
	p.command = command
	p.done = make(chan struct{})
	p.ready = make(chan struct{})
	p.fields = map[string]string{}
	done, ready := p.done, p.ready
	p.mutex.Unlock()
	logged := make(chan struct{})
	go func() { defer close(logged); p.followLog(stdout, logFile, ready) }()
	go func() {
		<-logged
		err := command.Wait()
		logFile.Close()
		p.mutex.Lock()
		p.exitError = err
		p.mutex.Unlock()
		close(done)
	}()
	return nil
}

// followLog copies the log to file and reads the fields of the first "listening" event.
func (p *Process) followLog(source io.Reader, file io.Writer, ready chan struct{}) {
	reader := bufio.NewReader(source)
	seen := false
	for {
		line, err := reader.ReadString('\n')
		if line != "" {
			_, _ = io.WriteString(file, line)
		}
		if err != nil {
			return
		}
		if !seen && strings.Contains(line, "event=listening") {
			seen = true
			p.mutex.Lock()
			p.fields = parseLogFields(line)
			p.mutex.Unlock()
			close(ready)
		}
	}
}

// parseLogFields returns the key=value pairs of a log line. Values must not contain spaces.
func parseLogFields(line string) map[string]string {
	fields := map[string]string{}
	for _, pair := range strings.Fields(line) {
		if key, value, found := strings.Cut(pair, "="); found {
			fields[key] = strings.Trim(value, `"`)
		}
	}
	return fields
}

// Field returns a field of the process's "listening" log line.
func (p *Process) Field(name string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fields[name]
}

// PID returns the process ID, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	select {
	case <-p.done:
		return 0
	default:
	}
	return p.command.Process.Pid
}

// Signal sends a signal and reports whether the process was running and received it.
func (p *Process) Signal(signal syscall.Signal) bool {
	pid := p.PID()
	if pid == 0 {
		return false
	}
	return syscall.Kill(pid, signal) == nil
}

// Wait waits up to limit for the process to end and reports whether it has ended.
func (p *Process) Wait(limit time.Duration) bool {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill sends SIGKILL, which also ends a frozen process, and waits for the end. It
// reports whether the signal was sent.
func (p *Process) Kill() bool {
	p.collectUsage()
	killed := p.Signal(syscall.SIGKILL)
	p.Wait(processTimeout)
	return killed
}

// Stop sends SIGTERM and kills the process if it is still running after limit.
// It reports whether the signal was sent and the process ended within limit.
func (p *Process) Stop(limit time.Duration) bool {
	p.collectUsage()
	signalled := p.Signal(syscall.SIGTERM)
	if !p.Wait(limit) {
		p.Kill()
		return false
	}
	return signalled
}

func logPath(folder, name string) string { return filepath.Join(folder, "logs", name+".log") }
