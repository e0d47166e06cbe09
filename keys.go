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

// KeyClient gives keys to an instance and takes them back.
type KeyClient interface {
	// Grant lets the instance run requests on the range for the time, counted from
	// the call's arrival; token is the last owner's, or empty. ErrFenced says that
	// the instance has seen a higher fence; any other error leaves open whether the
	// grant was, or will be, taken.
	Grant(ctx context.Context, keys KeyRange, hold time.Duration, token string) error
	// Release stops new work on the range, and returns once what ran has ended, with
	// the token of the instance's state.
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

// ErrFenced says that the instance has seen a higher fence on a key.
var ErrFenced = errors.New("the instance has seen a higher fence")
