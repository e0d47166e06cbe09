package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"limehold/catalog"
)

func zoneOrder(draining bool, basis uint64) Command {
	command := zone("z", draining, basis)
	command.Order = &Order{Resource: ZoneResource("z"), Action: "drain", Basis: basis, Sender: "127.0.0.1:7 at control-1"}
	return command
}

// Guards against a drained zone that returns to service: an order that changed nothing was acknowledged without a
// revision, so that an older one that was under way was applied after it.
func TestOrderThatChangesNothingSupersedesEarlierOnes(t *testing.T) {
	for name, draining := range map[string]bool{"drain": true, "undrain": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(t)
			m.must(zoneOrder(!draining, 0))
			m.must(zoneOrder(draining, m.state.OrderRevision(ZoneResource("z"))))
			underWay := zoneOrder(!draining, m.state.OrderRevision(ZoneResource("z")))
			is.Equal(m.must(zoneOrder(draining, underWay.Order.Basis)).Failure, nil) // changes nothing
			result, _ := m.state.Apply(m.state.Revision+1, &underWay)
			is.Equal(result.Failure.Code, catalog.FailureConflict)
			is.Equal(m.state.Zones["z"].Draining, draining)
		})
	}
}

func TestOrderTakesEffectOnceOnTheNewestBasis(t *testing.T) {
	resource := ZoneResource("z")
	for name, c := range map[string]struct {
		prepare  func(m *machine)
		id       string
		basis    func(m *machine) uint64
		conflict bool
	}{
		"the first":              {basis: func(*machine) uint64 { return 0 }},
		"on the newest":          {prepare: func(m *machine) { m.must(zoneOrder(true, 0)) }, basis: func(m *machine) uint64 { return m.state.OrderRevision(resource) }},
		"on an earlier one":      {prepare: func(m *machine) { m.must(zoneOrder(true, 0)) }, basis: func(*machine) uint64 { return 0 }, conflict: true},
		"on a later state":       {prepare: func(m *machine) { m.must(zoneOrder(true, 0)); m.must(zone("y", true, 0)); m.must(zone("y", false, 0)) }, basis: func(m *machine) uint64 { return m.state.Revision }},
		"on one that never was":  {basis: func(m *machine) uint64 { return m.state.Revision + 1 }, conflict: true},
		"after a command of old": {prepare: func(m *machine) { m.must(zone("z", true, 0)) }, basis: func(*machine) uint64 { return 0 }, conflict: true},
		"on a command of old":    {prepare: func(m *machine) { m.must(zone("z", true, 0)) }, basis: func(m *machine) uint64 { return m.state.Zones["z"].Revision }},
		"another resource's order": {prepare: func(m *machine) {
			m.must(Command{Order: &Order{Resource: "zone/y"}, SetZoneDraining: &SetZoneDraining{Zone: "y", Draining: true}})
		}, basis: func(*machine) uint64 { return 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(t)
			if c.prepare != nil {
				c.prepare(m)
			}
			before := m.state.OrderRevision(resource)
			order := zoneOrder(true, c.basis(m))
			result, _ := m.state.Apply(m.state.Revision+1, &order)
			is.Equal(result.Failure != nil, c.conflict)
			if c.conflict {
				is.Equal(m.state.OrderRevision(resource), before)
				return
			}
			is.Equal(m.state.OrderRevision(resource), m.state.Revision)
		})
	}
}

// An order that is sent again under its ID names a newer basis, and must not be taken for another command.
func TestOrderThatIsSentAgainGetsItsFirstResult(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	m.must(zoneOrder(true, 0))
	order := zoneOrder(false, 0)
	order.ID = "id-1"
	result, _ := m.state.Apply(m.state.Revision+1, &order)
	is.Equal(result.Failure.Code, catalog.FailureConflict)

	again := zoneOrder(false, m.state.OrderRevision(ZoneResource("z")))
	again.ID = "id-1"
	first := m.must(again) // the conflict is not recorded
	is.Equal(first.Failure, nil)
	m.must(zoneOrder(true, m.state.OrderRevision(ZoneResource("z"))))

	late := zoneOrder(false, m.state.OrderRevision(ZoneResource("z")))
	late.ID = "id-1"
	is.Equal(m.must(late), first)
	is.True(m.state.Zones["z"].Draining)
}

func TestOrderRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	for number := range maxOrderRecords + 2 {
		resource := ZoneResource(fmt.Sprint(number))
		m.state.Orders.Newest[resource] = OrderRecord{Revision: uint64(number) + 1}
		if len(m.state.Orders.Newest) > maxOrderRecords {
			m.state.Orders.dropOldest()
		}
	}
	is.Equal(len(m.state.Orders.Newest), maxOrderRecords)
	is.Equal(m.state.OrderRevision(ZoneResource("0")), uint64(2)) // of the last that was dropped
	is.Equal(m.state.OrderRevision(ZoneResource("2")), uint64(3))
}

// Members of earlier versions can read commands without an Order, and states in which there was none.
func TestStateWithoutOrdersKeepsTheFormOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	fields := len(m.state.fields())
	length := func() int {
		data, err := m.state.Encode()
		is.NoErr(err)
		decoded, err := DecodeState(data)
		is.NoErr(err)
		is.Equal(decoded.Orders, m.state.Orders)
		return int(data[0] & 0x0f) // the length of a short msgpack array
	}
	is.Equal(length(), fields-2)
	m.must(zoneOrder(true, 0))
	is.Equal(length(), fields)
	order := zoneOrder(false, 0)
	stripped := order.WithoutOrder()
	earlier := zone("z", false, 0)
	is.Equal(stripped.Encode(), earlier.Encode())
}

// Guards against a quarantined request that runs: a release that was sent before instances ended under it again was
// carried out late.
func TestLateReleaseLeavesANewQuarantineInForce(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	identity := crashingRequest()
	crash := func(from int) {
		for number := range 3 {
			m.must(Command{RecordReports: &RecordReports{Reports: []Report{crashReport(from+number, identity)}}})
		}
	}
	release := func(basis uint64) Command {
		return Command{
			ReleaseRequest: &ReleaseRequest{Digest: identity.Any, Reason: "fixed"},
			Order:          &Order{Resource: RequestResource(identity.Any), Action: "release", Basis: basis},
		}
	}
	crash(1)
	late := release(m.state.Revision)
	m.must(release(m.state.Revision))
	crash(4)
	result, _ := m.state.Apply(m.state.Revision+1, &late)
	is.Equal(result.Failure.Code, catalog.FailureConflict)
	record, _ := m.state.Quarantine.Get(identity.Any)
	is.True(record.Quarantined)
	is.Equal(m.must(release(m.state.Revision)).Failure, nil)
}

// A basis of 0 requires that a template or a service does not exist, also if there was one under its name.
func TestBasisOfZeroCreates(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	order := func(basis uint64) Command {
		return Command{
			ApplyTemplate: &ApplyTemplate{Template: catalog.Template{Name: "new", SpecText: spec, Parameters: []catalog.Parameter{{Name: "prefix", Type: catalog.ParameterName}}}},
			Order:         &Order{Resource: TemplateResource("new"), Action: "apply", Basis: basis},
		}
	}
	is.Equal(m.must(order(0)).Failure, nil)
	again := order(0)
	result, _ := m.state.Apply(m.state.Revision+1, &again)
	is.True(result.Failure != nil)
	m.must(Command{RetireTemplate: &RetireTemplate{Name: "new"}, Order: &Order{Resource: TemplateResource("new"), Action: "retire", Basis: m.state.Revision}})
	is.Equal(m.must(order(0)).Failure, nil)
	is.Equal(m.must(order(m.state.Revision)).Failure, nil)
}
