package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage holds the resources that a process has used, summed over its restarts. It lacks those of
// processes that ended other than by Kill or Stop. PeakRSSBytes is the highest peak of any of them.
type Usage struct {
	CPUSeconds    float64
	PeakRSSBytes  int64
	SentBytes     int64
	ReceivedBytes int64
}

const clockTicks = 100

// collectUsage adds the usage of the running process to the total. It must be
// called before the process ends, while /proc still has the figures.
func (p *Process) collectUsage() {
	current, err := readUsage(p.PID())
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.usage.CPUSeconds += current.CPUSeconds
	p.usage.SentBytes += current.SentBytes
	p.usage.ReceivedBytes += current.ReceivedBytes
	p.usage.PeakRSSBytes = max(p.usage.PeakRSSBytes, current.PeakRSSBytes)
}

// Usage returns the total usage, including that of the running process.
func (p *Process) Usage() Usage {
	p.mutex.Lock()
	total := p.usage
	p.mutex.Unlock()
	if current, err := readUsage(p.PID()); err == nil {
		total.CPUSeconds += current.CPUSeconds
		total.SentBytes += current.SentBytes
		total.ReceivedBytes += current.ReceivedBytes
		total.PeakRSSBytes = max(total.PeakRSSBytes, current.PeakRSSBytes)
	}
	return total
}

// readUsage reads a process's usage from /proc. The byte counts cover all reads
// and writes, nearly all of which are socket traffic.
func readUsage(pid int) (Usage, error) {
	if pid == 0 {
		return Usage{}, os.ErrNotExist
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The fields follow the parenthesized command name, which may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTicks, systemTicks = 11, 12
	if len(fields) <= systemTicks {
		return Usage{}, os.ErrInvalid
	}
	user, _ := strconv.ParseFloat(fields[userTicks], 64)
	system, _ := strconv.ParseFloat(fields[systemTicks], 64)
	usage := Usage{CPUSeconds: (user + system) / clockTicks}
	usage.PeakRSSBytes = readNumber(fmt.Sprintf("/proc/%d/status", pid), "VmHWM:") * 1024
	usage.ReceivedBytes = readNumber(fmt.Sprintf("/proc/%d/io", pid), "rchar:")
	usage.SentBytes = readNumber(fmt.Sprintf("/proc/%d/io", pid), "wchar:")
	return usage, nil
}

func readNumber(path, label string) int64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, label); found {
			number, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return number
		}
	}
	return 0
}
