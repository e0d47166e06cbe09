package integration

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/adminapi"
	"limehold/bench/fleet"
)

const adminTimeout = 15 * time.Second

func newClient(member *fleet.Member) *adminapi.Client {
	return adminapi.NewClient([]string{member.Field("admin")}, "", adminTimeout)
}

func getStatus(running *fleet.Fleet) (adminapi.Status, error) {
	var answer adminapi.Status
	err := running.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathStatus}, &answer)
	return answer, err
}

// checkGroup returns an error unless every member is alive and none is a learner.
func checkGroup(running *fleet.Fleet) error {
	seen, err := getStatus(running)
	if err != nil {
		return err
	}
	if len(seen.Members) != len(running.Members) {
		return fmt.Errorf("there are %d members", len(seen.Members))
	}
	for _, member := range seen.Members {
		if !member.Alive || member.Role == "learner" {
			return fmt.Errorf("member %s is %s, alive %t", member.Name, member.Role, member.Alive)
		}
	}
	return nil
}

func leaderOf(t *testing.T, running *fleet.Fleet) *fleet.Member {
	t.Helper()
	var leader *fleet.Member
	eventually(t, "a leader", func() error {
		if leader = running.Leader(); leader == nil {
			return errors.New("there is none")
		}
		return nil
	})
	return leader
}

func otherMember(running *fleet.Fleet, than *fleet.Member) *fleet.Member {
	for _, member := range running.Members {
		if member != than {
			return member
		}
	}
	return nil
}

const keyedService = "kopavogur-proofs"

func getService(client *adminapi.Client) (adminapi.Service, error) {
	var seen adminapi.Service
	err := client.Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathServices + "/" + keyedService}, &seen)
	return seen, err
}

// updateService sends an operator's change. It is conditional on the revision unless
// that is 0.
func updateService(client *adminapi.Client, id, timeout string, revision uint64) (adminapi.ChangeResult, error) {
	request := adminapi.Request{
		Method: http.MethodPatch, Path: adminapi.PathServices + "/" + keyedService, CommandID: id,
		Body: adminapi.UpdateServiceRequest{Values: map[string]string{"timeout": timeout}},
	}
	if revision > 0 {
		request.Query = url.Values{"revision": {strconv.FormatUint(revision, 10)}}
	}
	var answer adminapi.ChangeResult
	err := client.Do(request, &answer)
	return answer, err
}

func TestGroupSurvivesItsLossesAndKeepsWhatItAcknowledged(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true})
	first, err := updateService(running.Admin(), "one", "2100ms", 0)
	is.NoErr(err)

	// After a crash of the leader, the change is kept and a resent command gets the first answer.
	old := leaderOf(t, running)
	is.True(old.Kill())
	survivor := otherMember(running, old)
	eventually(t, "the same answer from another member after the leader's crash", func() error {
		again, err := updateService(newClient(survivor), "one", "2100ms", 0)
		if err == nil && again.Revision != first.Revision {
			t.Fatalf("revision %d was acknowledged, the resent command got %d", first.Revision, again.Revision)
		}
		return err
	})
	is.NoErr(running.StartMember(old))
	eventually(t, "all members are in the group again", func() error { return checkGroup(running) })

	// After a crash of all members, acknowledged changes are still on disk.
	for _, member := range running.Members {
		is.True(member.Kill())
	}
	for _, member := range running.Members {
		is.NoErr(running.StartMember(member))
	}
	eventually(t, "the service exists after a restart of all members", func() error {
		seen, err := getService(running.Admin())
		if err == nil && seen.Values["timeout"] != "2100ms" {
			t.Fatalf("the acknowledged value is lost: %v", seen.Values)
		}
		return err
	})
	again, err := updateService(running.Admin(), "one", "2100ms", 0)
	is.NoErr(err)
	is.Equal(again.Revision, first.Revision)
}

func TestMemberWithAnEmptiedFolderCountsOnlyAfterItsRepair(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true})
	leader := leaderOf(t, running)
	lost := otherMember(running, leader)
	is.True(lost.Kill())
	is.NoErr(os.RemoveAll(lost.DataFolder))
	is.NoErr(running.StartMember(lost))

	// Under its old name and address it must not count as a voter: with one more
	// member frozen there is no quorum.
	var third *fleet.Member
	for _, member := range running.Members {
		if member != leader && member != lost {
			third = member
		}
	}
	is.True(third.Freeze())
	shortTimeoutClient := adminapi.NewClient([]string{leader.Field("admin")}, "", 3*time.Second)
	_, err := updateService(shortTimeoutClient, "two", "2200ms", 0)
	is.True(err != nil) // one of three members must not acknowledge a change
	is.True(third.Thaw())

	repair := func() error {
		return newClient(leaderOf(t, running)).Do(adminapi.Request{
			Method: http.MethodPost, Path: adminapi.PathMembers + "/replace", Body: adminapi.MemberChangeRequest{Name: lost.Name},
		}, nil)
	}
	eventually(t, "the repair", repair)
	// An operator that lost the answer sends the command again.
	eventually(t, "the repair sent again", repair)
	eventually(t, "all members are in the group", func() error { return checkGroup(running) })
	// After the repair the group tolerates the loss of another member at once.
	is.True(third.Kill())
	eventually(t, "a change after the second loss", func() error {
		_, err := updateService(running.Admin(), "three", "2300ms", 0)
		return err
	})
}

func TestFrozenLeaderActsOnNothingWhenItWakes(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true})
	frozen := leaderOf(t, running)
	seen, err := getService(running.Admin())
	is.NoErr(err)
	is.True(frozen.Freeze())
	// A command for the frozen leader waits in its socket buffer.
	waiting := make(chan error, 1)
	go func() {
		_, err := updateService(newClient(frozen), "late", "2999ms", seen.Revision)
		waiting <- err
	}()
	survivor := otherMember(running, frozen)
	var changed adminapi.ChangeResult
	eventually(t, "a change under the next leader", func() error {
		var err error
		changed, err = updateService(newClient(survivor), "next", "2400ms", 0)
		return err
	})
	is.True(frozen.Thaw())
	var apiError *adminapi.Error
	err = <-waiting
	t.Logf("%s was frozen; the command that waited there was answered: %v", frozen.Name, err)
	is.True(errors.As(err, &apiError) && apiError.Code == "conflict") // the command was conditional on an older revision
	eventually(t, "the old leader returns the new value", func() error {
		seen, err := getService(newClient(frozen))
		if err == nil && (seen.Values["timeout"] != "2400ms" || seen.Revision != changed.Revision) {
			t.Fatalf("a stale read: %v at revision %d", seen.Values, seen.Revision)
		}
		return err
	})
}

func TestLeaderCutOffStopsAnswering(t *testing.T) {
	for _, bothWays := range []bool{true, false} {
		t.Run(fmt.Sprintf("both ways %t", bothWays), func(t *testing.T) {
			is := is.New(t)
			running := startFleet(t, fleet.Options{NoDelays: true})
			old := leaderOf(t, running)
			partition(running, old, true, bothWays)
			survivor := otherMember(running, old)
			eventually(t, "a change under the next leader", func() error {
				_, err := updateService(newClient(survivor), "next", "2500ms", 0)
				return err
			})
			// The admin listener of the old leader is still reachable.
			shortTimeoutClient := adminapi.NewClient([]string{old.Field("admin")}, "", 3*time.Second)
			if seen, err := getService(shortTimeoutClient); err == nil {
				is.Equal(seen.Values["timeout"], "2500ms") // no stale read
			}
			partition(running, old, false, false)
			eventually(t, "all members are in the group again", func() error { return checkGroup(running) })
		})
	}
}

// partition stalls the traffic from a member to the others (outgoing) and from the
// others to it (incoming).
func partition(running *fleet.Fleet, member *fleet.Member, outgoing, incoming bool) {
	for _, other := range running.Members {
		if path := other.PeerProxies[member.Name]; path != nil {
			path.Stall(outgoing, incoming)
		}
	}
	member.Inbound.Stall(incoming, outgoing)
	for _, path := range member.PeerProxies {
		path.Stall(incoming, outgoing)
	}
}

func TestOfTwoOperatorsOneWins(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	seen, err := getService(running.Admin())
	is.NoErr(err)
	results := make(chan error, 2)
	for operator := range 2 {
		go func() {
			_, err := updateService(running.Admin(), fmt.Sprintf("race-%d-%d", seen.Revision, operator), fmt.Sprintf("270%dms", operator), seen.Revision)
			results <- err
		}()
	}
	accepted := 0
	for range 2 {
		err := <-results
		var apiError *adminapi.Error
		switch {
		case err == nil:
			accepted++
		case errors.As(err, &apiError) && apiError.Code == "conflict":
			is.True(apiError.Revision > seen.Revision) // the conflict reports the winner's revision
		default:
			t.Fatal(err)
		}
	}
	is.Equal(accepted, 1)
}

func TestRemovalThatWouldLoseTheQuorumIsRefused(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true})
	leader := leaderOf(t, running)
	lost := otherMember(running, leader)
	is.True(lost.Kill())
	eventually(t, "the leader detects the crash of the member", func() error {
		if checkGroup(running) == nil {
			return errors.New("all members seem alive")
		}
		return nil
	})
	var third string
	for _, member := range running.Members {
		if member != leader && member != lost {
			third = member.Name
		}
	}
	err := newClient(leader).Do(adminapi.Request{
		Method: http.MethodPost, Path: adminapi.PathMembers + "/remove", Body: adminapi.MemberChangeRequest{Name: third},
	}, nil)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "refused"))
}

// runLimehold runs limehold and returns its output and exit code.
func runLimehold(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	trackSources(t)
	command := exec.Command(limehold, arguments...)
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(output), command.ProcessState.ExitCode()
}

func TestBadInputGetsAClearErrorAndNothingIsDone(t *testing.T) {
	running := sharedFleet(t)
	admin := running.Members[0].Field("admin")
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	unknownKey := write("unknown.yaml", "name: control-1\ndata_folder: "+folder+"\ncolour: red\n")
	twoZones := write("zones.yaml", "name: control-1\nzone: a\nzones: [a, a]\ndata_folder: "+folder+"\n")
	plainFile := write("file", "not a folder")
	noTemplate := write("template.yaml", "template: x\nspec: {pole: proofs}\n")
	cases := []struct {
		name      string
		arguments []string
		exit      int
		wants     []string
	}{
		{"unknown settings key", []string{"check-config", "--role", "control", unknownKey}, 2, []string{"colour", unknownKey}},
		{"duplicate zone", []string{"check-config", "--role", "control", twoZones}, 2, []string{"zones[1]", "once"}},
		{"port in use", []string{"control", "--name", "x", "--data-folder", folder + "/a", "--set", "control.listen=" + running.Members[0].Field("address")}, 1, []string{"address already in use"}},
		{"data folder that cannot be written", []string{"control", "--name", "x", "--data-folder", plainFile}, 1, []string{plainFile}},
		{"unknown template parameter", []string{"service", "create", "x", "--template", "proofs", "--set", "school=x", "--set", "colour=red", "--admin", admin}, 3, []string{"colour"}},
		{"missing template parameter", []string{"service", "create", "x", "--template", "proofs", "--admin", admin}, 3, []string{"school"}},
		{"service name with illegal characters", []string{"service", "create", "Kópavogur!", "--template", "proofs", "--set", "school=x", "--admin", admin}, 3, []string{"Kópavogur!", "lower-case"}},
		{"unknown template", []string{"service", "create", "x", "--template", "nothing", "--admin", admin}, 3, []string{"nothing", "template apply"}},
		{"unknown service", []string{"service", "show", "nothing", "--admin", admin}, 3, []string{"nothing", "does not exist"}},
		{"template with an unknown field", []string{"template", "apply", noTemplate, "--admin", admin}, 3, []string{"pole"}},
		{"conflict", []string{"service", "update", keyedService, "--set", "timeout=2s", "--revision", "1", "--admin", admin}, 4, []string{"revision"}},
		{"nobody to talk to", []string{"status", "--admin", "127.0.0.1:1"}, 5, []string{"127.0.0.1:1"}},
		{"no address", []string{"status"}, 2, []string{"--admin"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			output, exit := runLimehold(t, test.arguments...)
			if exit != test.exit {
				t.Errorf("exit code %d, not %d: %s", exit, test.exit, output)
			}
			for _, want := range test.wants {
				if !strings.Contains(output, want) {
					t.Errorf("the error does not name %q: %s", want, output)
				}
			}
		})
	}
	is := is.New(t)
	_, err := os.Stat(folder + "/a")
	is.True(os.IsNotExist(err)) // the member whose port was in use created no folder
	var list []adminapi.Service
	is.NoErr(running.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathServices}, &list))
	for _, service := range list {
		is.True(service.Name != "x") // no command was partly applied
	}
}

func TestGroupComesBackFromOneFolderAfterTheLossOfAMajority(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true})
	first, err := updateService(running.Admin(), "before", "2600ms", 0)
	is.NoErr(err)
	survivor := leaderOf(t, running)
	for _, member := range running.Members {
		is.True(member.Kill())
	}
	saved := survivor.DataFolder + ".new"
	output, exit := runLimehold(t, "snapshot", "restore", survivor.DataFolder, saved, "--name", survivor.Name, "--address", survivor.Inbound.Address())
	if exit != 0 {
		t.Fatal(output)
	}
	is.NoErr(os.Rename(survivor.DataFolder, survivor.DataFolder+".old"))
	is.NoErr(os.Rename(saved, survivor.DataFolder))
	is.NoErr(running.StartMember(survivor))
	eventually(t, "the new group of one", func() error {
		again, err := updateService(newClient(survivor), "before", "2600ms", 0)
		if err == nil && again.Revision != first.Revision {
			t.Fatalf("the first answer was revision %d, the repeated one is %d", first.Revision, again.Revision)
		}
		return err
	})
	// A member of the old group is unknown to the new group until it is admitted.
	other := otherMember(running, survivor)
	is.NoErr(os.RemoveAll(other.DataFolder))
	is.NoErr(running.StartMember(other))
	eventually(t, "another member", func() error {
		return newClient(survivor).Do(adminapi.Request{
			Method: http.MethodPost, Path: adminapi.PathMembers + "/add",
			Body: adminapi.MemberChangeRequest{Name: other.Name, Address: other.Inbound.Address()},
		}, nil)
	})
	file := filepath.Join(t.TempDir(), "backup")
	output, exit = runLimehold(t, "snapshot", "save", file, "--admin", survivor.Field("admin"))
	if exit != 0 || !strings.Contains(output, "SERVICES") {
		t.Fatalf("exit code %d: %s", exit, output)
	}
}
