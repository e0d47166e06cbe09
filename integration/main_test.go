// Package integration runs real processes behind a fault-injecting proxy.
package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"limehold/bench/fleet"
	"limehold/bench/shape"
)

var limehold, limebench string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "limehold-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	limehold, limebench = filepath.Join(folder, "limehold"), filepath.Join(folder, "limebench")
	code := 1
	if build(limehold, "limehold/cmd/limehold") && build(limebench, "limehold/cmd/limebench") {
		code = m.Run()
	}
	if shared != nil {
		shared.Stop()
	}
	os.RemoveAll(folder)
	os.Exit(code)
}

// trackSources stats every file of the source tree, so that the go command includes the
// files in the key of its test cache. The programs are not linked into this test, and
// the go command would otherwise reuse results of older sources. It tracks only accesses
// made while a test runs.
func trackSources(t *testing.T) {
	t.Helper()
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == "bin" || entry.Name() == ".git"):
			return filepath.SkipDir
		case entry.IsDir():
			return nil
		}
		_, err = os.Stat(path)
		return err
	})
	if err != nil {
		t.Fatalf("track the sources: %v", err)
	}
}

func build(target, program string) bool {
	output, err := exec.Command("go", "build", "-o", target, program).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, output)
	}
	return err == nil
}

// smallShape returns a deployment of two zones with a keyed service and unkeyed services.
func smallShape() *shape.Shape {
	return &shape.Shape{
		Name: "arbok", Zones: []string{"rvk-a", "rvk-b"}, Routers: 1,
		Pools: []shape.Pool{
			{Name: "proofs", Instances: 2, Slots: 18, Connections: 100, ServiceTime: 2 * time.Millisecond},
			{Name: "orders", Instances: 2, Slots: 18, Connections: 100, ServiceTime: 2 * time.Millisecond},
			{Name: "photos", Instances: 1, Slots: 4, Connections: 100, ServiceTime: 2 * time.Millisecond},
		},
		Templates: []string{"proofs", "orders", "photos"},
		Services: []shape.Service{
			{Name: "kopavogur-proofs", Template: "proofs", Values: map[string]string{"school": "kopavogur", "shards": "8"}},
			{Name: "orders", Template: "orders"},
			{Name: "photos", Template: "photos"},
		},
		Streams: []shape.Stream{
			{Name: "browse", Weight: 1, Method: "GET", Prefixes: []string{"/kopavogur/proofs"}, Keys: 50, Bytes: 200, Repeatable: true},
			{Name: "pay", Weight: 1, Method: "POST", Prefixes: []string{"/orders"}, Bytes: 100, BodyBytes: 50},
		},
		Rate: 50,
	}
}

// startFleet starts a deployment and stops it when the test ends.
func startFleet(t *testing.T, options fleet.Options) *fleet.Fleet {
	t.Helper()
	if options.Shape == nil {
		options.Shape = smallShape()
	}
	trackSources(t)
	options.Folder, options.Limehold, options.Limebench = t.TempDir(), limehold, limebench
	running, err := fleet.Start(options)
	if err != nil {
		t.Fatalf("start the deployment: %v", err)
	}
	t.Cleanup(func() {
		running.Stop()
		if t.Failed() {
			showLogs(t, options.Folder)
		}
	})
	return running
}

// showLogs prints the end of each process's log.
func showLogs(t *testing.T, folder string) {
	files, _ := filepath.Glob(filepath.Join(folder, "logs", "*.log"))
	const tail = 1500
	for _, file := range files {
		text, _ := os.ReadFile(file)
		t.Logf("--- %s\n%s", filepath.Base(file), text[max(0, len(text)-tail):])
	}
}

const waitLimit = 20 * time.Second

// eventually retries try until it succeeds, and fails the test after waitLimit.
func eventually(t *testing.T, what string, try func() error) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		err := try()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// shared is the deployment that several tests share. They change only the back ends' knobs, which they reset,
// and the keyed service's timeout.
var shared *fleet.Fleet

func sharedFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	trackSources(t)
	if shared != nil {
		return shared
	}
	folder, err := os.MkdirTemp("", "limehold-shared-")
	if err != nil {
		t.Fatal(err)
	}
	running, err := fleet.Start(fleet.Options{Shape: smallShape(), Folder: folder, Limehold: limehold, Limebench: limebench, ControlMembers: 1, NoDelays: true})
	if err != nil {
		t.Fatalf("start the shared deployment (logs in %s): %v", folder, err)
	}
	shared = running
	return running
}
