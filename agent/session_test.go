package agent

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/membership"
	"limehold/wire"
)

// Guards against ignoring the outcome of a late renewal, and against applying it to
// another session than the one that it was sent for.
func TestRenewalsThatEndLateCount(t *testing.T) {
	const session, other = membership.SessionID(7), membership.SessionID(8)
	for name, c := range map[string]struct {
		sentFor membership.SessionID
		err     error
		unknown bool
		renewed bool
	}{
		"granted":                       {session, nil, false, true},
		"granted to an earlier session": {other, nil, false, false},
		"the session is not known":      {session, &wire.Error{Code: wire.CodeUnknownSession}, true, false},
		"an earlier one is not known":   {other, &wire.Error{Code: wire.CodeUnknownSession}, false, false},
		"it was asked of a follower":    {session, &wire.Error{Code: wire.CodeNotLeader}, false, false},
		"there was no answer":           {session, errors.New("no answer"), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &Agent{links: newLinks(nil, false, nil), wake: make(chan struct{}, 1), session: session}
			sentAt := clock.Now() - time.Second
			a.handleRenewal(c.sentFor, sentAt, &wire.RenewReply{LeaseLength: 4 * time.Second}, c.err)
			is.Equal(a.isUnknown(session), c.unknown)
			is.Equal(a.leaseExpiry() == sentAt+4*time.Second, c.renewed)
		})
	}
}
