package fleet

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"limehold/catalog"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/routing"
)

// choices draws commands from a stream of bytes. An exhausted stream yields zeros.
type choices struct{ data []byte }

// next returns a number below limit.
func (c *choices) next(limit int) int {
	if len(c.data) == 0 {
		return 0
	}
	value := int(c.data[0]) % limit
	c.data = c.data[1:]
	return value
}

func pick[T any](c *choices, values ...T) T { return values[c.next(len(values))] }

// name returns a name that services, templates, nodes and route table entries share.
func (c *choices) name() string { return pick(c, "a", "b", "c") }

func (c *choices) revision() uint64 {
	return pick(c, catalog.AnyRevision, 0, uint64(1+c.next(40)))
}

func (c *choices) session(state *State) membership.SessionID {
	if node := state.Membership.Current(c.name()); node != nil {
		return node.Session
	}
	return membership.SessionID(c.next(40))
}

// key returns a shard, with its epoch unless an outdated one is drawn.
func (c *choices) key(state *State) (ownership.Key, uint64) {
	key := ownership.Key{Service: c.name(), Shard: uint32(c.next(3))}
	shard, _ := state.Ownership.Get(key)
	return key, shard.Epoch - uint64(c.next(8)/7)
}

func (c *choices) decisions(state *State) []ShardDecision {
	var list []ShardDecision
	for range 1 + c.next(4) {
		key, epoch := c.key(state)
		list = append(list, ShardDecision{Key: key, Epoch: epoch, To: c.session(state)})
	}
	return list
}

var templateSpecs = []string{
	spec,
	"match: {path_prefix: \"/${prefix}\"}\npool: proofs\n",
	"match: {path_prefix: \"/${prefix}/more\"}\npool: ${prefix}\nkeyed: true\nkey: {source: path}\nshards: 3\n",
	"",
	"[",
	"match: {path_prefix: \"/${missing}\"}",
}

func (c *choices) template() catalog.Template {
	return catalog.Template{
		Name: pick(c, "proofs", "orders", ""), SpecText: pick(c, templateSpecs...),
		Parameters: []catalog.Parameter{{Name: "prefix", Type: catalog.ParameterName}},
	}
}

func (c *choices) values() map[string]string {
	return pick(c, map[string]string{"prefix": c.name()}, nil, map[string]string{"timeout": "1s"})
}

func (c *choices) routes(state *State) *routing.Change {
	change := &routing.Change{
		Base: state.Routing.Document.Version, Version: state.Routing.Document.Version + 1,
		ReplaceAll: c.next(2) == 0, Digest: state.Revision,
	}
	for _, name := range []string{"a", "b", "c"}[:c.next(4)] {
		change.Upsert = append(change.Upsert,
			routing.Item{Section: routing.SectionServices, Name: name, Service: &routing.Service{Name: name, Keyed: c.next(2) == 0}},
			routing.Item{Section: routing.SectionRoutes, Name: name, Route: &routing.Route{
				Name: name, Host: "x", PathPrefix: "/" + name + "/", Kind: routing.KindSafe, Timeout: time.Second, MaxAttempts: 1,
				Split: []routing.Share{{Service: name, Weight: 1}},
			}})
	}
	if c.next(3) == 0 {
		name := c.name()
		change.Remove = []routing.ItemKey{{Section: routing.SectionRoutes, Name: name}, {Section: routing.SectionServices, Name: name}}
	}
	return change
}

func (c *choices) report() Report {
	identity := crashingRequest()
	identity.Any[0] = byte(c.next(3))
	report := crashReport(c.next(6), identity)
	if c.next(3) == 0 {
		return Report{Success: &quarantine.SuccessReport{Digest: identity.Any, Opened: uint64(c.next(40)), Node: c.name()}}
	}
	return report
}

// command draws a command. Most fit the state, so that sequences reach deep states.
func (c *choices) command(state *State) Command {
	commands := []func() Command{
		func() Command {
			return Command{ApplyTemplate: &ApplyTemplate{Template: c.template(), Expected: c.revision()}}
		},
		func() Command {
			return Command{RetireTemplate: &RetireTemplate{Name: pick(c, "proofs", "orders", ""), Expected: c.revision()}}
		},
		func() Command {
			return Command{CreateService: &CreateService{Name: c.name(), Template: pick(c, "proofs", "orders", ""), Values: c.values()}}
		},
		func() Command {
			return Command{UpdateService: &UpdateService{Name: c.name(), Values: c.values(), Expected: c.revision()}}
		},
		func() Command {
			return Command{RetireService: &RetireService{Name: c.name(), Expected: c.revision()}}
		},
		func() Command { return Command{RemoveService: &RemoveService{Name: c.name()}} },
		func() Command { return Command{ChangeRoutes: c.routes(state)} },
		func() Command {
			return Command{OpenSession: &OpenSession{
				Node: membership.Node{
					Name: c.name(), Incarnation: c.name(), Zone: c.name(), Pool: pick(c, "proofs", "a", "b", "c"),
					Address: c.name(), StartedAt: int64(c.next(4)), Process: uint64(c.next(3)), AppliesLate: c.next(2) == 0,
				},
				PredecessorsEnded: c.next(4) == 0, Exclusive: c.next(2) == 0,
			}}
		},
		func() Command {
			return Command{CloseSessions: &CloseSessions{
				Sessions: []membership.SessionID{c.session(state)}, Superseded: c.session(state), Process: uint64(c.next(3)),
			}}
		},
		func() Command {
			return Command{MarkSessionsLost: &MarkSessionsLost{Sessions: []membership.SessionID{c.session(state), c.session(state)}}}
		},
		func() Command {
			return Command{SetDraining: &SetDraining{Session: c.session(state), Draining: c.next(2) == 0, Cause: "operator"}}
		},
		func() Command { return Command{Assign: NewAssign(c.decisions(state), "load")} },
		func() Command { return Command{Assign: NewAssign(c.decisions(state), "load")} },
		func() Command { return Command{Transfer: &Transfer{Decisions: c.decisions(state)}} },
		func() Command {
			release := &Release{Session: c.session(state), Reassign: c.next(2) == 0}
			for range 1 + c.next(3) {
				key, epoch := c.key(state)
				release.Shards = append(release.Shards, ReleasedShard{Key: key, Epoch: epoch, Token: c.name()})
			}
			return Command{Release: release}
		},
		func() Command {
			return Command{SetZoneDraining: &SetZoneDraining{Zone: c.name(), Draining: c.next(2) == 0, Expected: state.Zones["a"].Revision}}
		},
		func() Command {
			return Command{RecordReports: &RecordReports{Reports: []Report{c.report(), c.report()}}}
		},
		func() Command {
			update := &UpdateQuarantine{}
			for _, record := range state.Quarantine.Records {
				version := quarantine.RecordVersion{Digest: record.Digest, Changed: record.Changed}
				update.Expired = append(update.Expired, version)
				update.Trials = append(update.Trials, TrialOffer{Record: version})
			}
			return Command{UpdateQuarantine: update}
		},
		func() Command {
			return Command{ClaimTrial: &ClaimTrial{Digest: crashingRequest().Any, Number: uint64(c.next(60)), Holder: c.name()}}
		},
		func() Command {
			return Command{ReleaseRequest: &ReleaseRequest{Digest: crashingRequest().Any, Reason: "test"}}
		},
		func() Command { return Command{} },
	}
	command := commands[c.next(len(commands))]()
	command.At = int64(state.Revision)
	if c.next(4) == 0 {
		resource := ZoneResource(c.name())
		command.Order = &Order{Resource: resource, Action: "act", Basis: state.OrderRevision(resource) - uint64(c.next(4)/3)}
	}
	if c.next(6) == 0 {
		command.ID = fmt.Sprint("id-", c.next(4))
	}
	return command
}

// checkAgreement applies commands drawn from data to three members: one that applies each of them, one
// that decodes them from the log, and one that is restored from a snapshot now and then.
func checkAgreement(t *testing.T, data []byte) {
	t.Helper()
	c := &choices{data: data}
	one, logged, restored := NewState(), NewState(), NewState()
	var history []string
	for len(c.data) > 0 {
		command := c.command(one)
		history = append(history, describe(&command))
		index := one.Revision + 1
		result, changes := one.Apply(index, &command)
		decoded, err := DecodeCommand(command.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := logged.Apply(index, decoded); !reflect.DeepEqual(again, result) {
			t.Fatalf("another member answers %+v in place of %+v\n%s", again, result, history)
		}
		if c.next(8) == 0 {
			restored = reencode(t, restored)
		}
		decoded, err = DecodeCommand(command.Encode())
		if err != nil {
			t.Fatal(err)
		}
		again, changesAgain := restored.Apply(index, decoded)
		if !reflect.DeepEqual(again, result) {
			t.Fatalf("a restored member answers %+v in place of %+v\n%s", again, result, history)
		}
		if changesAgain.Empty() != changes.Empty() {
			t.Fatalf("a restored member changes %+v in place of %+v\n%s", changesAgain, changes, history)
		}
		if err := one.CheckInvariants(); err != nil {
			t.Fatalf("%v\n%s", err, history)
		}
	}
	for name, other := range map[string]*State{"another": logged, "a restored": restored} {
		if difference := compareStates(t, one, other); difference != "" {
			t.Fatalf("%s member differs in %s\n%s", name, difference, history)
		}
	}
}

// describe returns the parts of a command that are set.
func describe(command *Command) string {
	value := reflect.ValueOf(*command)
	text := "\n  " + command.ID
	for i := range value.NumField() {
		if field := value.Field(i); field.Kind() == reflect.Pointer && !field.IsNil() {
			text += fmt.Sprintf(" %s%+v", value.Type().Field(i).Name, field.Elem().Interface())
		}
	}
	return text
}

func reencode(t *testing.T, state *State) *State {
	t.Helper()
	data, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// compareStates returns the name of the first part in which two states differ. Both are decoded
// from a snapshot first, so that nil and empty values are equal.
func compareStates(t *testing.T, a, b *State) string {
	t.Helper()
	one, other := reflect.ValueOf(*reencode(t, a)), reflect.ValueOf(*reencode(t, b))
	for i := range one.NumField() {
		if !reflect.DeepEqual(one.Field(i).Interface(), other.Field(i).Interface()) {
			return one.Type().Field(i).Name
		}
	}
	return ""
}

// Guards against commands that end the members which apply them, and against members whose states or
// answers differ after the same log, with or without snapshots in between.
func TestMembersThatApplyTheSameLogAgree(t *testing.T) {
	const sequences, length = 150, 600
	for seed := range uint64(sequences) {
		random := rand.New(rand.NewPCG(seed, 0))
		data := make([]byte, length)
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		checkAgreement(t, data)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// FuzzAgreement searches for sequences as TestMembersThatApplyTheSameLogAgree does.
func FuzzAgreement(f *testing.F) {
	f.Add([]byte{0, 0, 0, 6, 0, 3, 2, 3, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) < 4096 {
			checkAgreement(t, data)
		}
	})
}
