// Package limehold holds the interfaces by which parts of a process vary. Their
// implementations stand in the packages below.
package limehold

import (
	"context"
	"errors"
	"time"
)

// KeyRange is a contiguous range of keys, both ends included, under one fence. It is a
// value: a changed range is made by its With methods.
type KeyRange struct {
	First uint32
	Last  uint32
	// Fence rises whenever a key goes to another instance.
	Fence uint64
}

// WithLast returns the range with another end.
func (r KeyRange) WithLast(last uint32) KeyRange {
	r.Last = last
	return r
}

// WithFence returns the range under another fence.
func (r KeyRange) WithFence(fence uint64) KeyRange {
	r.Fence = fence
	return r
}

// KeyClient gives keys to an instance and takes them back. Starts of the instance are told apart by
// the connections to them, which no late or foreign message can imitate.
type KeyClient interface {
	// Connect returns the number of the start that Grant and Clear reach. Another number says that
	// another start may listen now.
	Connect(ctx context.Context) (start uint64, err error)
	// Start is the number that was returned last.
	Start() uint64
	// Grant lets a start run requests on the range for the time, counted from
	// the call's arrival; token is the last owner's, or empty. ErrFenced says that
	// the instance has seen a higher fence, ErrAnotherStart that nothing was sent, as that start is
	// not known to listen any more; any other error leaves open whether the grant was, or will be,
	// taken.
	Grant(ctx context.Context, start uint64, keys KeyRange, hold time.Duration, token string) error
	// Clear is Release at a start. ErrAnotherStart: nothing was sent.
	Clear(ctx context.Context, start uint64, keys KeyRange) (token string, err error)
	// Release stops new work on the range at whoever listens, and returns once what ran has ended,
	// with the token of the instance's state.
	Release(ctx context.Context, keys KeyRange) (token string, err error)
}

// KeyCarrier brings to an instance what it may hold, and brings back what it has let go.
type KeyCarrier interface {
	// Run carries until ctx ends.
	Run(ctx context.Context)
	// Changed says that there may be something new to carry. It never blocks.
	Changed()
	// LetGo has the instance let ranges go, one a shard in the order of their keys. It
	// returns those that the instance holds no longer and will not: fewer than were
	// asked for, or none, when it should be asked again.
	LetGo(ranges []KeyRange) ([]ReleasedRange, error)
	// Dropped is told of ranges that are no longer the instance's: it is to let them go,
	// and nobody waits for it.
	Dropped(ranges []KeyRange)
}

// ReleasedRange is a range that an instance has let go.
type ReleasedRange struct {
	KeyRange
	// Token of the state of these keys; empty: none.
	Token string
}

// GrantLateness is how late an instance may carry out a grant that it left without an answer, with its
// time counting from then. Those that are seen are 2 to 12 s late.
const GrantLateness = 15 * time.Second

// ErrFenced says that the instance has seen a higher fence on a key.
var ErrFenced = errors.New("the instance has seen a higher fence")

// ErrAnotherStart says that the start of an instance that a call was meant for is not known to
// listen any more. Nothing was sent.
var ErrAnotherStart = errors.New("another start of the instance may listen")
