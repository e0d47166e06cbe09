package integration

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/bench/standin"
	"limehold/wire"
)

// startProgram starts a process and returns the fields of its "listening" log lines, by
// the value of the field part. It waits for the given number of lines.
func startProgram(t *testing.T, lines int, binary string, arguments ...string) map[string]map[string]string {
	t.Helper()
	trackSources(t)
	command := exec.Command(binary, arguments...)
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	found := make(chan map[string]map[string]string, 1)
	go parseListeningLines(output, lines, found)
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		_ = command.Wait()
	})
	select {
	case parts := <-found:
		return parts
	case <-time.After(waitLimit):
		t.Fatalf("%s did not log its listen addresses", binary)
		return nil
	}
}

func parseListeningLines(output io.Reader, lines int, found chan<- map[string]map[string]string) {
	parts := map[string]map[string]string{}
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), "event=listening") {
			continue
		}
		fields := map[string]string{}
		for _, pair := range strings.Fields(scanner.Text()) {
			name, value, _ := strings.Cut(pair, "=")
			fields[name] = value
		}
		parts[fields["part"]] = fields
		if len(parts) == lines {
			found <- parts
		}
	}
}

func TestStandaloneServesInOneProcessAndWantsTheToken(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	token := filepath.Join(folder, "token")
	is.NoErr(os.WriteFile(token, []byte("secret\n"), 0o600))
	template := filepath.Join(folder, "proofs.yaml")
	text, err := os.ReadFile("../examples/arbok/proofs.yaml")
	is.NoErr(err)
	is.NoErr(os.WriteFile(template, text, 0o600))

	backend := startProgram(t, 1, limebench, "backend", "--name", "one", "--drain-limit", "1s")[""]
	parts := startProgram(t, 3, limehold, "standalone", "--name", "one", "--data-folder", folder+"/data",
		"--set", "agent.backend="+backend["address"], "--set", "agent.pool=proofs", "--set", "admin.token_file="+token)
	admin := parts["control"]["admin"]

	output, exit := runLimehold(t, "template", "apply", template, "--admin", admin)
	is.Equal(exit, 3) // without the token
	is.True(strings.Contains(output, "token"))
	for _, arguments := range [][]string{
		{"template", "apply", template}, {"service", "create", "kopavogur-proofs", "--template", "proofs", "--set", "school=kopavogur"},
	} {
		output, exit := runLimehold(t, append(arguments, "--admin", admin, "--token-file", token)...)
		if exit != 0 {
			t.Fatalf("%v: exit code %d: %s", arguments, exit, output)
		}
	}
	run := newRunID()
	eventually(t, "the key has an owner", func() error {
		conn, err := net.Dial("tcp", parts["router"]["address"])
		if err != nil {
			return err
		}
		defer conn.Close()
		answer := exchange(t, conn, bufio.NewReader(conn), getRequest("/kopavogur/proofs/class-1/x?bytes=100", run))
		if answer.outcome() != wire.OutcomeOK {
			return outcomeError(answer.reason())
		}
		is.Equal(string(answer.body), string(standin.Body(run, 100)))
		return nil
	})
}

type outcomeError string

// Error implements error.
func (e outcomeError) Error() string { return string(e) }
