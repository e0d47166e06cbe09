package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"limehold/transport"
	"limehold/wire"
)

// links holds the connections to the control members, and the address of the member that
// answered last. With discovery, members that the settings do not name are added as well.
type links struct {
	dial  func(address string) *transport.Link
	mutex sync.Mutex
	ctx   context.Context
	// seeds are the addresses of the settings. They are always kept.
	seeds []string
	// discovers is set if control is found by discovery: the addresses that members report
	// are dialed too. A fixed list of members is not extended.
	discovers bool
	byAddress map[string]*memberLink
	order     []string
	version   uint64
	// preferred is the address of the member that answered last. It is tried first.
	preferred string
}

type memberLink struct {
	*transport.Link
	cancel context.CancelFunc
}

func newLinks(seeds []string, discovers bool, dial func(string) *transport.Link) *links {
	return &links{dial: dial, seeds: seeds, discovers: discovers, byAddress: map[string]*memberLink{}}
}

// start dials the seeds and keeps all links connected until ctx ends.
func (l *links) start(ctx context.Context) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ctx = ctx
	l.reconcile(l.seeds)
}

// update replaces the addresses by those of the members' list and the seeds. A nil list changes nothing.
func (l *links) update(list *wire.MemberList) {
	if list == nil || !l.discovers {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ctx == nil || l.ctx.Err() != nil {
		return
	}
	l.version = list.Version
	wanted := slices.Clone(list.Addresses)
	for _, seed := range l.seeds {
		if !slices.Contains(wanted, seed) {
			wanted = append(wanted, seed)
		}
	}
	l.reconcile(wanted)
}

// addLeader dials the leader that a member named, if control is found by discovery and there is
// no link to that leader yet. All members that the settings name may have been replaced.
func (l *links) addLeader(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if address == "" || !l.discovers || l.ctx == nil || l.ctx.Err() != nil || l.byAddress[address] != nil {
		return
	}
	l.reconcile(append(slices.Clone(l.order), address))
}

// reconcile dials the wanted addresses that have no link, and closes the links to all others.
func (l *links) reconcile(wanted []string) {
	for address, link := range l.byAddress {
		if !slices.Contains(wanted, address) {
			link.cancel()
			delete(l.byAddress, address)
		}
	}
	for _, address := range wanted {
		if l.byAddress[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		link := &memberLink{Link: l.dial(address), cancel: cancel}
		l.byAddress[address] = link
		go link.Run(ctx)
	}
	l.order = wanted
}

// memberVersion returns the version of the newest list of members.
func (l *links) memberVersion() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.version
}

// candidates lists the connected links, the preferred one first.
func (l *links) candidates() []*memberLink {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []*memberLink
	for _, address := range l.order {
		link := l.byAddress[address]
		if link == nil || link.Conn() == nil {
			continue
		}
		if address == l.preferred {
			list = slices.Insert(list, 0, link)
			continue
		}
		list = append(list, link)
	}
	return list
}

func (l *links) prefer(link *memberLink) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address, known := range l.byAddress {
		if known == link {
			l.preferred = address
		}
	}
}

// clearPreferred ends the preference for a member that did not answer. The next call tries the
// members in the order of the list.
func (l *links) clearPreferred(link *memberLink) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byAddress[l.preferred] == link {
		l.preferred = ""
	}
}

// callLeader calls the leader.
func (l *links) callLeader(ctx context.Context, tryTimeout time.Duration, kind wire.Kind, request, reply any) error {
	return l.tryLeader(func(link *memberLink) error {
		callContext, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		return link.CallWithProbe(callContext, tryTimeout, kind, request, reply)
	})
}

// errUnanswered is returned for an attempt that was not answered in time and is still pending.
var errUnanswered = errors.New("not answered in time, the request is still pending")

// renew sends a renewal to the leader. An attempt that is not answered within tryTimeout stays
// pending for up to renewTimeout, because answers arrive late on a saturated link and are still
// valid. onResult is called for each attempt that ends, even after renew has returned.
func (l *links) renew(ctx context.Context, tryTimeout time.Duration, request *wire.Renew, onResult func(*wire.RenewReply, error)) error {
	return l.tryLeader(func(link *memberLink) error {
		outcome := make(chan error, 1)
		go func() {
			callContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), renewTimeout)
			defer cancel()
			reply := &wire.RenewReply{}
			err := link.CallWithProbe(callContext, tryTimeout, wire.KindRenew, request, reply)
			if err == nil {
				l.prefer(link)
			}
			onResult(reply, err)
			outcome <- err
		}()
		timer := time.NewTimer(tryTimeout)
		defer timer.Stop()
		select {
		case err := <-outcome:
			return err
		case <-timer.C:
			return errUnanswered
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

// tryLeader tries the member that answered last, then any member named as leader, then the
// others. An error from a member other than "not leader" ends the search.
func (l *links) tryLeader(try func(*memberLink) error) error {
	var last error = transport.ErrClosed
	remaining := l.candidates()
	for len(remaining) > 0 {
		next := remaining[0]
		remaining = remaining[1:]
		err := try(next)
		if err == nil {
			l.prefer(next)
			return nil
		}
		last = err
		var rejected *wire.Error
		if !errors.As(err, &rejected) {
			l.clearPreferred(next)
			continue
		}
		if rejected.Code != wire.CodeNotLeader {
			return err
		}
		l.addLeader(rejected.LeaderAddress)
		remaining = leaderFirst(remaining, rejected.Leader)
	}
	return last
}

// leaderFirst moves the member that was named as leader to the front.
func leaderFirst(remaining []*memberLink, leader string) []*memberLink {
	for i, link := range remaining {
		if conn := link.Conn(); conn != nil && leader != "" && conn.Peer.Name == leader {
			return append([]*memberLink{link}, slices.Delete(slices.Clone(remaining), i, i+1)...)
		}
	}
	return remaining
}
