// Package limehold declares the interfaces for granting keys to an instance and for
// releasing them. The packages below it implement them.
package limehold

import (
	"context"
	"errors"
	"time"
)

// KeyRange is a contiguous range of keys, both ends included, with a fencing token. It
// is used as a value: the With methods return changed copies.
type KeyRange struct {
	First uint32
	Last  uint32
	// Fence is the fencing token. It is higher after each assignment of a key, whether to
	// another instance or to the same one again.
	Fence uint64
}

// WithLast returns a copy of the range that ends at last.
func (r KeyRange) WithLast(last uint32) KeyRange {
	r.Last = last
	return r
}

// WithFence returns a copy of the range with another fencing token.
func (r KeyRange) WithFence(fence uint64) KeyRange {
	r.Fence = fence
	return r
}

// KeyClient grants keys to an instance and releases them. It distinguishes incarnations
// of the instance by the connections to them, which a late or forged message cannot
// imitate.
type KeyClient interface {
	// Connect returns the number of the incarnation that Grant and ReleaseAt reach, and connects
	// to the instance first if no connection is open. A new number means that another
	// incarnation may be listening now.
	Connect(ctx context.Context) (incarnation uint64, err error)
	// Incarnation returns the number that Connect returned last, or 0 if there was none.
	Incarnation() uint64
	// Grant lets an incarnation run requests on the range for the duration hold, which
	// begins when the call arrives. token is the state token of the previous owner, or
	// empty. ErrFenced means that the instance has seen a higher fencing token.
	// ErrOtherIncarnation means that nothing was sent, because that incarnation may no longer
	// be listening. After any other error the instance may have accepted the grant or may
	// still accept it.
	Grant(ctx context.Context, incarnation uint64, keys KeyRange, hold time.Duration, token string) error
	// ReleaseAt releases the range as Release does, but only at the given incarnation.
	// ErrOtherIncarnation means that nothing was sent.
	ReleaseAt(ctx context.Context, incarnation uint64, keys KeyRange) (token string, err error)
	// Release stops new work on the range at the incarnation that is listening. It
	// returns after running work has ended, with the token of the instance's state.
	Release(ctx context.Context, keys KeyRange) (token string, err error)
}

// KeyNotifier notifies an instance of its keys and collects the keys it has released.
type KeyNotifier interface {
	// Run delivers notifications until ctx ends.
	Run(ctx context.Context)
	// NotifyChanged reports that the keys may have changed. It never blocks.
	NotifyChanged()
	// Release requests that the instance release the ranges, one per shard in the order of
	// their keys. It returns the ranges that the instance no longer holds and will not
	// hold. If these are fewer than requested, or none, the caller should call it again.
	Release(ranges []KeyRange) ([]ReleasedRange, error)
	// Revoke reports ranges that the instance no longer owns. The instance should
	// release them, but no caller waits for that.
	Revoke(ranges []KeyRange)
}

// ReleasedRange is a range that an instance has released.
type ReleasedRange struct {
	KeyRange
	// Token identifies the state of these keys. Empty if there is none.
	Token string
}

// UnlimitedGrantDelay is the delay of grants without a known limit: a grant that an instance has not answered
// may be applied at any later time. It is short enough to be added to a time without an overflow.
const UnlimitedGrantDelay time.Duration = 1 << 62

// GrantDelayLimit returns the limit that a setting max_grant_delay stands for.
func GrantDelayLimit(setting time.Duration) time.Duration {
	if setting == 0 {
		return UnlimitedGrantDelay
	}
	return setting
}

// FormatGrantDelay returns the text of a delay or of a time that was computed from one.
func FormatGrantDelay(delay time.Duration) string {
	if delay >= UnlimitedGrantDelay/2 {
		return "unlimited"
	}
	return delay.String()
}

// ErrFenced reports that the instance has seen a higher fencing token for a key.
var ErrFenced = errors.New("the instance has seen a higher fencing token")

// ErrOtherIncarnation reports that the incarnation for which a call was meant may no longer
// be listening. Nothing was sent.
var ErrOtherIncarnation = errors.New("another incarnation of the instance may be listening")
