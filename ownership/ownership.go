// Package ownership records which session owns which shard under which epoch, as part of the
// replicated state. It does no I/O and reads no clock. The table changes only through the methods
// below, which return a Refusal where a change would break an invariant.
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

// Phases of a shard.
const (
	// PhaseFree shards have no owner; no session may run requests on them.
	PhaseFree Phase = iota
	// PhaseGranted shards are owned by Owner under Epoch.
	PhaseGranted
	// PhaseReleasing shards are still owned by Owner, which has been asked to finish the requests
	// in flight and release the shard. Target is the intended next owner, or 0.
	PhaseReleasing
)

// String returns the name of the phase for operators.
func (p Phase) String() string { return [...]string{"free", "granted", "releasing"}[p] }

// Shard is the ownership record of one shard.
type Shard struct {
	Owner  membership.SessionID
	Target membership.SessionID
	Epoch  uint64
	Phase  Phase
	// Token identifies the state that the last owner left. The owner sets it on release, and the
	// next owner presents it. It is empty if the last owner did not release the shard or there was
	// none.
	Token string
}

// Key identifies a shard of a service.
type Key struct {
	Service string
	Shard   uint32
}

// String returns the shard in the form shown to operators.
func (k Key) String() string { return fmt.Sprintf("%s/%d", k.Service, k.Shard) }

// ShardOf returns the shard of a key: the 64-bit xxHash of the key modulo the number of shards.
func ShardOf(key []byte, shards int) uint32 {
	return uint32(xxhash.Sum64(key) % uint64(shards))
}

// NumberSpace is the number of numeric keys of a service that is divided into ranges.
const NumberSpace = 1 << 16

// ShardOfNumber returns the shard of a numeric key below NumberSpace. Shards are contiguous ranges of equal
// length, up to rounding.
func ShardOfNumber(number uint32, shards int) uint32 {
	return uint32(uint64(number) * uint64(shards) / NumberSpace)
}

// Range returns the first and last number of a shard as defined by ShardOfNumber.
func Range(shard uint32, shards int) (first, last uint32) {
	firstOf := func(shard uint64) uint32 {
		return uint32((shard*NumberSpace + uint64(shards) - 1) / uint64(shards))
	}
	return firstOf(uint64(shard)), firstOf(uint64(shard)+1) - 1
}

// Table holds the shards of all keyed services of a deployment.
//
// Invariants:
//   - A shard has at most one owner: Assign refuses a shard that is not free.
//   - The epoch of a shard only rises, also across owners and when a service is created again: each
//     Assign raises it.
//   - A shard becomes free only when its owner releases it under the current epoch, or when the
//     owner's session is closed.
type Table struct {
	Shards map[string][]Shard
	// owned holds the shards of each session, free those without an owner. Both are derived; see
	// Reindex.
	owned map[membership.SessionID]map[Key]struct{}
	free  map[Key]struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Shards: map[string][]Shard{}, owned: map[membership.SessionID]map[Key]struct{}{}, free: map[Key]struct{}{}}
}

// Reindex rebuilds the derived indexes after decoding.
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
			t.addOwned(shard.Owner, key)
		}
	}
}

// Free returns the shards without an owner in no particular order.
func (t *Table) Free() []Key { return slices.Collect(maps.Keys(t.free)) }

func (t *Table) addOwned(session membership.SessionID, key Key) {
	keys := t.owned[session]
	if keys == nil {
		keys = map[Key]struct{}{}
		t.owned[session] = keys
	}
	keys[key] = struct{}{}
}

func (t *Table) removeOwned(session membership.SessionID, key Key) {
	delete(t.owned[session], key)
	if len(t.owned[session]) == 0 {
		delete(t.owned, session)
	}
}

// AddService creates the shards of a service, all free. Their epochs start above firstEpoch, so that a
// service created again under the same name does not reuse epochs.
func (t *Table) AddService(service string, shards int, firstEpoch uint64) {
	list := make([]Shard, shards)
	for i := range list {
		list[i].Epoch = firstEpoch
		t.free[Key{service, uint32(i)}] = struct{}{}
	}
	t.Shards[service] = list
}

// RemoveService removes a service. It returns false and does nothing if a shard still has an owner.
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

// Get returns the record of a shard, if there is one.
func (t *Table) Get(key Key) (Shard, bool) {
	shards := t.Shards[key.Service]
	if int(key.Shard) >= len(shards) {
		return Shard{}, false
	}
	return shards[key.Shard], true
}

// Owned returns the shards of a session in no particular order.
func (t *Table) Owned(session membership.SessionID) []Key {
	keys := make([]Key, 0, len(t.owned[session]))
	for key := range t.owned[session] {
		keys = append(keys, key)
	}
	return keys
}

// OwnedCount returns the number of shards of a session.
func (t *Table) OwnedCount(session membership.SessionID) int { return len(t.owned[session]) }

// Refusal is the error of a change that would break an invariant.
type Refusal struct {
	Key    Key
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("shard %s: %s", r.Key, r.Reason) }

func newRefusal(key Key, format string, arguments ...any) error {
	return &Refusal{Key: key, Reason: fmt.Sprintf(format, arguments...)}
}

// Assign makes a session the owner of a free shard under the epoch next. expected is the epoch that
// the decision was based on.
func (t *Table) Assign(key Key, expected, next uint64, to membership.SessionID) error {
	shard, found := t.Get(key)
	if !found {
		return newRefusal(key, "no such shard")
	}
	if shard.Phase != PhaseFree {
		return newRefusal(key, "is %s, owned by session %d", shard.Phase, shard.Owner)
	}
	if shard.Epoch != expected {
		return newRefusal(key, "has epoch %d, the decision was based on epoch %d", shard.Epoch, expected)
	}
	if next <= shard.Epoch {
		return newRefusal(key, "new epoch %d is not above epoch %d", next, shard.Epoch)
	}
	t.Shards[key.Service][key.Shard] = Shard{Owner: to, Epoch: next, Phase: PhaseGranted, Token: shard.Token}
	delete(t.free, key)
	t.addOwned(to, key)
	return nil
}

// BeginTransfer marks a shard for release by its owner, so that target can own it next; 0 means no
// particular session. expected is the epoch that the decision was based on.
func (t *Table) BeginTransfer(key Key, expected uint64, target membership.SessionID) error {
	shard, found := t.Get(key)
	if !found {
		return newRefusal(key, "no such shard")
	}
	if shard.Phase == PhaseFree || shard.Epoch != expected {
		return newRefusal(key, "is %s at epoch %d, the decision was based on epoch %d", shard.Phase, shard.Epoch, expected)
	}
	shard.Phase = PhaseReleasing
	shard.Target = target
	t.Shards[key.Service][key.Shard] = shard
	return nil
}

// Release frees a shard that its owner has released, and stores the token of its state for the next
// owner. It refuses a release by another session or under another epoch, as a late or repeated one
// is. It returns the target of the transfer, or 0.
func (t *Table) Release(key Key, epoch uint64, from membership.SessionID, token string) (membership.SessionID, error) {
	shard, found := t.Get(key)
	if !found {
		return 0, newRefusal(key, "no such shard")
	}
	if shard.Phase == PhaseFree || shard.Owner != from || shard.Epoch != epoch {
		return 0, newRefusal(key, "session %d is not the owner under epoch %d", from, epoch)
	}
	t.Shards[key.Service][key.Shard] = Shard{Epoch: shard.Epoch, Token: token}
	t.removeOwned(from, key)
	t.free[key] = struct{}{}
	return shard.Target, nil
}

// CloseSession frees all shards of a session that has ended, and returns them in no particular order.
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
