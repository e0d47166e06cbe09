package control

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"limehold/catalog"
	"limehold/consensus"
	"limehold/fleet"
	"limehold/wal"
)

// Guards against members that end again whenever they replay a log with an update of a service that the
// route table defines. The folders are those of two members that ended when they applied it.
func TestLogWithUpdateOfARoutedServiceIsReplayed(t *testing.T) {
	is := is.New(t)
	var results []fleet.Result
	for _, name := range []string{"control-1", "control-2"} {
		folder := filepath.Join(t.TempDir(), name)
		is.NoErr(os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "update-of-routed-service", name))))
		disk, recovered, err := openStorage(folder, name, wal.Options{})
		is.NoErr(err)
		is.NoErr(disk.log.Close())
		results = append(results, replay(t, recovered))
	}
	is.Equal(results[0], results[1])
	is.True(results[0].Failure != nil)
	is.Equal(results[0].Failure.Code, catalog.FailureReadOnly)
}

// replay applies the log entries up to the first update of a service and returns its result.
func replay(t *testing.T, recovered recoveredState) fleet.Result {
	t.Helper()
	state, err := fleet.DecodeState(recovered.snapshot.Data)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range recovered.entries {
		if entry.Kind != consensus.EntryCommand {
			continue
		}
		command, err := fleet.DecodeCommand(entry.Data)
		if err != nil {
			t.Fatal(err)
		}
		result, _ := state.Apply(entry.Index, command)
		if command.UpdateService != nil {
			return result
		}
	}
	t.Fatal("the log holds no update of a service")
	return fleet.Result{}
}
