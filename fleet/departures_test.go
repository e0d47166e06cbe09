package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/catalog"
	"limehold/codec"
	"limehold/decisions"
	"limehold/departure"
	"limehold/incarnation"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/routing"
)

func departed(node, id string, at int64) Command {
	return Command{At: at, RecordDeparture: &RecordDeparture{Node: node, Notice: departure.Notice{Kind: departure.Departed, Incarnation: incarnation.ID{ID: id}}}}
}

// Guards against departures that are lost with a snapshot, and against ones that are kept for good.
func TestDeparturesAreKeptForAsLongAsMessagesAreLate(t *testing.T) {
	is := is.New(t)
	state := NewState()
	apply := func(command Command) {
		decoded, err := DecodeCommand(command.Encode())
		is.NoErr(err)
		result, _ := state.Apply(state.Revision+1, decoded)
		is.True(result.Failure == nil)
	}
	apply(departed("node-1", "i-1", 1000))
	apply(departed("node-1", "i-2", 2000))
	apply(departed("node-2", "i-3", 2000))
	data, err := state.Encode()
	is.NoErr(err)
	state, err = DecodeState(data)
	is.NoErr(err)
	is.Equal(len(state.Departures["node-1"].Notices), 2)
	is.Equal(len(state.Departures["node-2"].Notices), 1)
	apply(departed("node-3", "i-4", 2000+departureRetention.Milliseconds()))
	is.Equal(len(state.Departures), 3)
	apply(departed("node-3", "i-5", 2000+departureRetention.Milliseconds()+time.Second.Milliseconds()))
	is.Equal(len(state.Departures), 1)
}

// Members of earlier versions have to read everything but departures, and their records have to be read.
func TestRecordsWithoutDeparturesKeepTheFormOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	command := Command{ID: "c-1", At: 5, SetDraining: &SetDraining{Session: 1, Draining: true}}
	earlier := struct {
		ID               string
		At               int64
		ApplyTemplate    *ApplyTemplate
		RetireTemplate   *RetireTemplate
		CreateService    *CreateService
		UpdateService    *UpdateService
		RetireService    *RetireService
		RemoveService    *RemoveService
		OpenSession      *OpenSession
		CloseSessions    *CloseSessions
		MarkSessionsLost *MarkSessionsLost
		SetDraining      *SetDraining
		Assign           *Assign
		Transfer         *Transfer
		Release          *Release
		ChangeRoutes     *routing.Change
		SetZoneDraining  *SetZoneDraining
		RecordReports    *RecordReports
		ReleaseRequest   *ReleaseRequest
		UpdateQuarantine *UpdateQuarantine
		ClaimTrial       *ClaimTrial
	}{ID: "c-1", At: 5, SetDraining: &SetDraining{Session: 1, Draining: true}}
	is.Equal(command.Encode(), codec.MustMarshal(&earlier))

	state := NewState()
	data, err := state.Encode()
	is.NoErr(err)
	earlierState, err := codec.Marshal(&struct {
		Revision    uint64
		Catalog     *catalog.Catalog
		Membership  *membership.Table
		Ownership   *ownership.Table
		Journal     *decisions.Journal
		Records     map[string]Record
		RecordOrder []string
		LastEpoch   uint64
		Routing     routing.Store
		Zones       map[string]Zone
		Quarantine  quarantine.Table
		DrainOrders map[string]DrainOrder
	}{state.Revision, state.Catalog, state.Membership, state.Ownership, state.Journal, state.Records, state.RecordOrder, state.LastEpoch, state.Routing, state.Zones, state.Quarantine, state.DrainOrders})
	is.NoErr(err)
	is.Equal(data, earlierState)
	_, err = DecodeState(earlierState)
	is.NoErr(err)
}
