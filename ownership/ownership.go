// Package ownership is the replicated record of which session owns which shard
// under which epoch. It is pure: the record changes only through the methods
// below, each of which either keeps the invariants or refuses.
package ownership

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"limehold/membership"
)

// Phase is the state of one shard.
type Phase uint8

// Phases.
const (
	// PhaseFree shards have no owner: no session may run requests for them.
	PhaseFree Phase = iota
	// PhaseGranted shards belong to Owner under Epoch.
	PhaseGranted
	// PhaseReleasing shards still belong to Owner, which has been asked to
	// finish what is in flight and to release; Target, if any, is to follow.
	PhaseReleasing
)

// String names the phase for operators.
func (p Phase) String() string { return [...]string{"free", "granted", "releasing"}[p] }

// Shard is the record of one shard.
type Shard struct {
	Owner  membership.SessionID
	Target membership.SessionID
	Epoch  uint64
	Phase  Phase
	// Token of the last owner's state, given by its release; the next owner
	// presents it. Empty: the last owner did not release, or there was none.
	Token string
}

// Key names a shard.
type Key struct {
	Service string
	Shard   uint32
}

// String formats the shard as operators see it.
func (k Key) String() string { return fmt.Sprintf("%s/%d", k.Service, k.Shard) }

// Of returns the shard that a key belongs to: the 64-bit xxHash of the key,
// modulo the number of shards.
func Of(key []byte, shards int) uint32 {
	return uint32(xxhash.Sum64(key) % uint64(shards))
}

// NumberSpace is how many numbers a service divided into ranges has as keys.
const NumberSpace = 1 << 16

// OfNumber returns the shard that a number below NumberSpace belongs to: shards
// are contiguous ranges of equal length.
func OfNumber(number uint32, shards int) uint32 {
	return uint32(uint64(number) * uint64(shards) / NumberSpace)
}

// Range returns the first and last number of a shard; see OfNumber.
func Range(shard uint32, shards int) (first, last uint32) {
	at := func(shard uint64) uint32 {
		return uint32((shard*NumberSpace + uint64(shards) - 1) / uint64(shards))
	}
	return at(uint64(shard)), at(uint64(shard)+1) - 1
}

// Table holds the shards of all keyed services of a cell.
//
// Invariants:
//   - A shard has at most one owner: Assign refuses a shard that is not free.
//   - Epochs only rise, also across owners and across the service's life: each
//     Assign raises the epoch.
//   - A shard becomes free only by the owner's release under the epoch in
//     force, or by the end of the owner's session.
type Table struct {
	Shards map[string][]Shard
	// owned lists the shards of each session, free those of nobody; derived, see
	// Reindex.
	owned map[membership.SessionID]map[Key]struct{}
	free  map[Key]struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Shards: map[string][]Shard{}, owned: map[membership.SessionID]map[Key]struct{}{}, free: map[Key]struct{}{}}
}

// Reindex rebuilds what is derived from the exported fields, after decoding.
func (t *Table) Reindex() {
	if t.Shards == nil {
		t.Shards = map[string][]Shard{}
	}
	t.owned = map[membership.SessionID]map[Key]struct{}{}
	t.free = map[Key]struct{}{}
	for service, shards := range t.Shards {
		for number, shard := range shards {
			key := Key{service, uint32(number)}
			if shard.Phase == PhaseFree {
				t.free[key] = struct{}{}
				continue
			}
			t.own(shard.Owner, key)
		}
	}
}

// Free lists the shards without an owner, in no particular order.
func (t *Table) Free() []Key { return slices.Collect(maps.Keys(t.free)) }

func (t *Table) own(session membership.SessionID, key Key) {
	keys := t.owned[session]
	if keys == nil {
		keys = map[Key]struct{}{}
		t.owned[session] = keys
	}
	keys[key] = struct{}{}
}

func (t *Table) disown(session membership.SessionID, key Key) {
	delete(t.owned[session], key)
	if len(t.owned[session]) == 0 {
		delete(t.owned, session)
	}
}

// AddService creates the shards of a service, all free. The first epoch is
// above firstEpoch, so that a service created again under an old name does not
// reuse epochs.
func (t *Table) AddService(service string, shards int, firstEpoch uint64) {
	list := make([]Shard, shards)
	for i := range list {
		list[i].Epoch = firstEpoch
		t.free[Key{service, uint32(i)}] = struct{}{}
	}
	t.Shards[service] = list
}

// RemoveService drops a service whose shards are all free; it returns false if
// one of them still has an owner.
func (t *Table) RemoveService(service string) bool {
	for _, shard := range t.Shards[service] {
		if shard.Phase != PhaseFree {
			return false
		}
	}
	for number := range t.Shards[service] {
		delete(t.free, Key{service, uint32(number)})
	}
	delete(t.Shards, service)
	return true
}

// Get returns a shard's record.
func (t *Table) Get(key Key) (Shard, bool) {
	shards := t.Shards[key.Service]
	if int(key.Shard) >= len(shards) {
		return Shard{}, false
	}
	return shards[key.Shard], true
}

// Owned lists the shards of a session, in no particular order.
func (t *Table) Owned(session membership.SessionID) []Key {
	keys := make([]Key, 0, len(t.owned[session]))
	for key := range t.owned[session] {
		keys = append(keys, key)
	}
	return keys
}

// OwnedCount is the number of shards of a session.
func (t *Table) OwnedCount(session membership.SessionID) int { return len(t.owned[session]) }

// Refusal says why a step was not taken.
type Refusal struct {
	Key    Key
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("shard %s: %s", r.Key, r.Reason) }

func refuse(key Key, format string, arguments ...any) error {
	return &Refusal{Key: key, Reason: fmt.Sprintf(format, arguments...)}
}

// Assign gives a free shard to a session under the epoch next. expected is the
// epoch that the decision was made on.
func (t *Table) Assign(key Key, expected, next uint64, to membership.SessionID) error {
	shard, found := t.Get(key)
	if !found {
		return refuse(key, "there is no such shard")
	}
	if shard.Phase != PhaseFree {
		return refuse(key, "it is %s to session %d", shard.Phase, shard.Owner)
	}
	if shard.Epoch != expected {
		return refuse(key, "its epoch is %d, the decision was made at %d", shard.Epoch, expected)
	}
	if next <= shard.Epoch {
		return refuse(key, "epoch %d is not above %d", next, shard.Epoch)
	}
	t.Shards[key.Service][key.Shard] = Shard{Owner: to, Epoch: next, Phase: PhaseGranted, Token: shard.Token}
	delete(t.free, key)
	t.own(to, key)
	return nil
}

// BeginTransfer asks the owner to release a shard, in favour of target (zero:
// nobody). expected is the epoch that the decision was made on.
func (t *Table) BeginTransfer(key Key, expected uint64, target membership.SessionID) error {
	shard, found := t.Get(key)
	if !found {
		return refuse(key, "there is no such shard")
	}
	if shard.Phase == PhaseFree || shard.Epoch != expected {
		return refuse(key, "it is %s at epoch %d, the decision was made at %d", shard.Phase, shard.Epoch, expected)
	}
	shard.Phase = PhaseReleasing
	shard.Target = target
	t.Shards[key.Service][key.Shard] = shard
	return nil
}

// Release frees a shard on its owner's word, which gives the token of its state
// for the next owner. A late or repeated word, of another epoch or session, is
// refused. It returns the target that was to follow.
func (t *Table) Release(key Key, epoch uint64, from membership.SessionID, token string) (membership.SessionID, error) {
	shard, found := t.Get(key)
	if !found {
		return 0, refuse(key, "there is no such shard")
	}
	if shard.Phase == PhaseFree || shard.Owner != from || shard.Epoch != epoch {
		return 0, refuse(key, "session %d does not own it under epoch %d", from, epoch)
	}
	t.Shards[key.Service][key.Shard] = Shard{Epoch: shard.Epoch, Token: token}
	t.disown(from, key)
	t.free[key] = struct{}{}
	return shard.Target, nil
}

// CloseSession frees all shards of a session whose lease is over, and returns
// them in no particular order.
func (t *Table) CloseSession(session membership.SessionID) []Key {
	keys := t.Owned(session)
	for _, key := range keys {
		shard := &t.Shards[key.Service][key.Shard]
		*shard = Shard{Epoch: shard.Epoch}
		t.free[key] = struct{}{}
	}
	delete(t.owned, session)
	return keys
}
