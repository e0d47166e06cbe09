package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	held      = 0
	broken    = 1
	cannotBe  = 2
	testHost  = "shop.example"
	waitLimit = 40 * time.Second
)

var (
	recordMutex sync.Mutex
	recordFile  *os.File
	began       = time.Now()
	current     *deployment
)

// record writes a line of what was sent, answered or run.
func record(kind, format string, values ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%9.3f %-9s %s\n", time.Since(began).Seconds(), kind, fmt.Sprintf(format, values...))
	}
}

// end stops all processes and exits.
func end(code int, format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	record("verdict", "%s", text)
	fmt.Println(text)
	if current != nil {
		current.stop()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(current.folder)
		} else {
			fmt.Println("kept", current.folder)
		}
	}
	os.Exit(code)
}

func cannotRun(format string, values ...any) { end(cannotBe, "could not run: "+format, values...) }

// setUp starts a deployment whose sidecars are beside instances of the given services. sharded names the services that
// are divided by key.
func setUp(services []string, sharded map[string]bool) (*deployment, []*instance) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("%v", err)
	}
	d := newDeployment(folder, services)
	current = d
	var nodes []*instance
	for n, side := range d.sidecars {
		nodes = append(nodes, startInstance(side, fmt.Sprintf("i-%08x", 0x1000+n), sharded[side.service]))
	}
	d.start()
	return d, nodes
}

// put sends a configuration until there is a clear answer.
func (d *deployment) put(base string, body string) int {
	for turn := 0; time.Since(began) < waitLimit; turn++ {
		core := d.controls[turn%len(d.controls)]
		status, _, answer, err := call("PUT", "http://"+core.ports["control"]+"/limehold/config", map[string]string{"If-Match": base, "Content-Type": "application/json"}, []byte(body))
		if err == nil && status < 500 {
			record("config", "to=%s status=%d %.200s", core.name, status, answer)
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("the configuration gets no clear answer")
	return 0
}

// awaitServed waits until each sidecar has served a request of a path.
func (d *deployment) awaitServed(path string) {
	for n, side := range d.sidecars {
		for turn := 0; ; turn++ {
			id := fmt.Sprintf("ready-%d-%d", n, turn)
			status, _, _, err := call("GET", "http://"+side.ports["outbound"]+path, map[string]string{"Host": testHost, "Limehold-Request-Id": id,
				"Limehold-Deadline-Ms": "1000", "Limehold-Shard-Key": fmt.Sprint(turn * 4001 % numberSpace)}, nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Since(began) > waitLimit {
				cannotRun("%s does not serve: %d %v", side.name, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// withTrouble reports whether the disruption takes place.
func withTrouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin-2 CASE FOLDER-OF-RECORD")
		os.Exit(cannotBe)
	}
	var err error
	if recordFile, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(cannotBe)
	}
	cases[os.Args[1]]()
	cannotRun("the case has no verdict")
}

// resources of the usual configuration.
func route(name, prefix, kind, service string, timeout float64, attempts int) string {
	return fmt.Sprintf(`{"entry_type":"routes","metadata":{"name":"%s"},"spec":{"host":"%s","path_prefix":"%s","kind":"%s","timeout_s":%g,"target_latency_s":0.5,"priority":1,"service":"%s","max_attempts":%d}}`,
		name, testHost, prefix, kind, timeout, service, attempts)
}

func service(name string, sharded bool) string {
	if sharded {
		return fmt.Sprintf(`{"entry_type":"services","metadata":{"name":"%s"},"spec":{"health_path":"/health","max_connections":120,"protocol":"h1","tls":false,"sharded":true,"warmup_s":3.0,"grants":"call"}}`, name)
	}
	return fmt.Sprintf(`{"entry_type":"services","metadata":{"name":"%s"},"spec":{"health_path":"/health","max_connections":120,"protocol":"h1","tls":false}}`, name)
}

const limits = `{"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

func config(version string, resources ...string) string {
	text := ""
	for _, resource := range append(resources, limits) {
		if text != "" {
			text += ","
		}
		text += resource
	}
	return fmt.Sprintf(`{"version":"%s","resources":[%s]}`, version, text)
}

func temporary() string {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("%v", err)
	}
	return folder
}
