package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func file(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLaterSourcesWin(t *testing.T) {
	is := is.New(t)
	path := file(t, "name: from-file\nzone: from-file\nlog: {level: warn}\n")
	loaded, err := Load(path, []string{"LIMEHOLD_ZONE=from-environment", "LIMEHOLD_NAME=from-environment", "OTHER=x"}, []Override{{Path: "name", Value: "from-flag"}})
	is.NoErr(err)
	is.Equal(loaded.Name, "from-flag")
	is.Equal(loaded.Zone, "from-environment")
	is.Equal(loaded.Log.Level, "warn")
	is.Equal(loaded.Control.LeaseLength, 500*time.Millisecond)
}

const control = "name: control-1\nzone: a\nzones: [a, b]\ndata_folder: /x\n"

const node = "name: node-1\nzone: a\ndiscovery: {seeds: [\"127.0.0.1:1\"]}\nagent: {pool: numbers}\ningress: {listen: \"127.0.0.1:0\", instance: \"127.0.0.1:1\""

func TestBadSettingsNameFieldValueAndRemedy(t *testing.T) {
	cases := []struct {
		name, text string
		role       Role
		wants      []string
	}{
		{"unknown key", control + "colour: red\n", RoleControl, []string{"colour", "unknown setting", "settings.yaml"}},
		{"unknown key in a section", control + "router: {portt: 1}\n", RoleControl, []string{"portt"}},
		{"duplicate zone", "name: control-1\nzone: a\nzones: [a, b, a]\ndata_folder: /x\n", RoleControl, []string{"zones[2]", `"a"`, "once"}},
		{"zone not in the list", "name: control-1\nzone: c\nzones: [a, b]\ndata_folder: /x\n", RoleControl, []string{"zone", `"c"`, "a, b"}},
		{"wrong type", control + "control: {lease_length: soon}\n", RoleControl, []string{"soon"}},
		{"host name as address", control + "control: {listen: \"localhost:7000\"}\n", RoleControl, []string{"control.listen", "IP number"}},
		{"port out of range", control + "control: {listen: \"127.0.0.1:70000\"}\n", RoleControl, []string{"control.listen", "65535"}},
		{"lease too short", control + "control: {lease_length: 100ms}\n", RoleControl, []string{"control.lease_length", "renew_every"}},
		{"election below heartbeats", control + "control: {timing: {election_min: 50ms}}\n", RoleControl, []string{"control.timing.election_min"}},
		{"member listed twice", control + "control: {members: [{name: control-1, address: \"127.0.0.1:1\"}, {name: control-1, address: \"127.0.0.1:2\"}]}\n", RoleControl, []string{"control.members[1].name", "once"}},
		{"member does not list itself", control + "control: {members: [{name: control-2, address: \"127.0.0.1:1\"}]}\n", RoleControl, []string{"control.members", "join"}},
		{"no data folder", "name: control-1\n", RoleControl, []string{"data_folder"}},
		{"router without control", "name: router-1\nzone: a\n", RoleRouter, []string{"router.control"}},
		{"agent without back end", "name: proofs-1\nzone: a\nagent: {pool: proofs, control: [\"127.0.0.1:1\"]}\n", RoleAgent, []string{"agent.backend"}},
		{"half of the TLS files", control + "tls: {certificate: a.pem}\n", RoleControl, []string{"tls", "together"}},
		{"unknown way of grants", node + ", grant_by: pigeon}\n", RoleSidecar, []string{"ingress.grant_by", `"pigeon"`, "call or heartbeat"}},
		{"heartbeats answered too late", node + ", heartbeat_wait: 900ms}\n", RoleSidecar, []string{"ingress.heartbeat_wait", "900ms", "1s"}},
		{"notice beyond the stop", node + ", stop_time: 1s, stop_notice: 2s}\n", RoleSidecar, []string{"ingress.stop_notice", "2s", "ingress.stop_time"}},
		{"advised delays in whole seconds", node + "}\nrouter: {advised_retry_after: true}\n", RoleSidecar, []string{"router.advised_retry_after", "true", "router.fractional_retry_after"}},
		{"illegal name", "name: Control_1\nzone: a\ndata_folder: /x\n", RoleControl, []string{"name", "Control_1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			loaded, err := Load(file(t, test.text), nil, nil)
			if err == nil {
				err = loaded.Validate(test.role)
			}
			is.True(err != nil)
			for _, want := range test.wants {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("the error does not name %q: %v", want, err)
				}
			}
		})
	}
}

func TestEveryProblemIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	loaded, err := Load(file(t, "name: control-1\nlog: {level: loud}\ncontrol: {place_every: 0s}\n"), nil, nil)
	is.NoErr(err)
	text := loaded.Validate(RoleControl).Error()
	for _, want := range []string{"log.level", "data_folder", "control.place_every"} {
		is.True(strings.Contains(text, want))
	}
}

func TestBadOverrides(t *testing.T) {
	for _, text := range []string{"no-equals-sign", "control.lease_length=soon", "nowhere=1", "control=1"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			override, err := ParseOverride(text)
			if err == nil {
				_, err = Load("", nil, []Override{override})
			}
			is.True(err != nil)
		})
	}
}

func TestEveryPathCanBeSet(t *testing.T) {
	is := is.New(t)
	defaults := Default()
	for _, path := range Paths() {
		err := defaults.set(Override{Path: path, Value: "a: 1"}, "test")
		is.True(err == nil || !strings.Contains(err.Error(), "unknown setting"))
	}
	is.True(len(Paths()) > 40)
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(control))
	f.Add([]byte("control: {members: [{name: a, address: \"127.0.0.1:1\"}], timing: {heartbeat: 40ms}}\n"))
	f.Add([]byte("&a [*a]"))
	f.Add([]byte("name: \x00\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		loaded, err := Load(path, nil, nil)
		if err != nil {
			return
		}
		for _, role := range []Role{RoleControl, RoleRouter, RoleAgent, RoleStandalone} {
			_ = loaded.Validate(role)
		}
	})
}
