// Package fleet starts a whole deployment on loopback for tests and
// experiments: control members, routers, agents and stand-in back ends as
// processes of their own, with a fault proxy on every path between them.
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

// Process is one process of the deployment.
type Process struct {
	Name string
	// Role is control, router, agent or backend.
	Role string

	binary    string
	arguments []string
	logPath   string

	mutex   sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	exit    error
	ready   chan struct{}
	fields  map[string]string
	usage   Usage
}

const readyPatience = 20 * time.Second

func newProcess(name, role, binary, logPath string, arguments []string) *Process {
	return &Process{Name: name, Role: role, binary: binary, logPath: logPath, arguments: arguments}
}

// Start runs the process and waits until it says that it is listening.
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
		return eris.Errorf("%s %s ended at once (%v); see %s", p.Role, p.Name, p.exit, p.logPath)
	case <-time.After(readyPatience):
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
	// A process of its own group, so that a signal to the tool's terminal does
	// not reach it before the tool has decided.
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
		p.exit = err
		p.mutex.Unlock()
		close(done)
	}()
	return nil
}

// followLog copies the log and picks up the line that says where the process listens.
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
			p.fields = parseLine(line)
			p.mutex.Unlock()
			close(ready)
		}
	}
}

// parseLine reads the unquoted pairs of a log line.
func parseLine(line string) map[string]string {
	fields := map[string]string{}
	for _, pair := range strings.Fields(line) {
		if key, value, found := strings.Cut(pair, "="); found {
			fields[key] = strings.Trim(value, `"`)
		}
	}
	return fields
}

// Field returns a field of the line with which the process said that it listens.
func (p *Process) Field(name string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fields[name]
}

// PID returns the process's id; zero when it does not run.
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

// Signal sends a signal; false if the process does not run.
func (p *Process) Signal(signal syscall.Signal) bool {
	pid := p.PID()
	if pid == 0 {
		return false
	}
	return syscall.Kill(pid, signal) == nil
}

// Wait waits until the process has ended; false if it has not within limit.
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

// Kill ends the process without notice, also when it is stopped.
func (p *Process) Kill() bool {
	p.collectUsage()
	killed := p.Signal(syscall.SIGKILL)
	p.Wait(readyPatience)
	return killed
}

// Stop asks the process to end and kills it after limit.
func (p *Process) Stop(limit time.Duration) bool {
	p.collectUsage()
	asked := p.Signal(syscall.SIGTERM)
	if !p.Wait(limit) {
		p.Kill()
		return false
	}
	return asked
}

func logPath(folder, name string) string { return filepath.Join(folder, "logs", name+".log") }
