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

// links are the connections to the control members, and which of them led to the
// last answer. Members that the settings do not name are learned from the others.
type links struct {
	dial  func(address string) *transport.Link
	mutex sync.Mutex
	ctx   context.Context
	// seeds are the addresses of the settings; they stay, whatever the members say.
	seeds []string
	// learns is set where control is found by discovery: addresses that members name
	// are dialed too. A list that an operator gave stays as it is.
	learns  bool
	known   map[string]*knownLink
	order   []string
	version uint64
	// favourite is the address that led to the last answer.
	favourite string
}

type knownLink struct {
	*transport.Link
	cancel context.CancelFunc
}

func newLinks(seeds []string, learns bool, dial func(string) *transport.Link) *links {
	return &links{dial: dial, seeds: seeds, learns: learns, known: map[string]*knownLink{}}
}

// start dials the seeds, and keeps all links up until ctx ends.
func (l *links) start(ctx context.Context) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ctx = ctx
	l.keep(l.seeds)
}

// update takes the members' own list of their addresses.
func (l *links) update(list *wire.MemberList) {
	if list == nil || !l.learns {
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
	l.keep(wanted)
}

// learn dials a leader that was named and is not known yet: the members that the
// settings name may all be others by now.
func (l *links) learn(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if address == "" || !l.learns || l.ctx == nil || l.ctx.Err() != nil || l.known[address] != nil {
		return
	}
	l.keep(append(slices.Clone(l.order), address))
}

// keep dials what is new and drops what is not wanted any more.
func (l *links) keep(wanted []string) {
	for address, link := range l.known {
		if !slices.Contains(wanted, address) {
			link.cancel()
			delete(l.known, address)
		}
	}
	for _, address := range wanted {
		if l.known[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		link := &knownLink{Link: l.dial(address), cancel: cancel}
		l.known[address] = link
		go link.Run(ctx)
	}
	l.order = wanted
}

// memberVersion is the version of the newest list of members.
func (l *links) memberVersion() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.version
}

// candidates lists the links that are up, the favourite first.
func (l *links) candidates() []*knownLink {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []*knownLink
	for _, address := range l.order {
		link := l.known[address]
		if link == nil || link.Conn() == nil {
			continue
		}
		if address == l.favourite {
			list = slices.Insert(list, 0, link)
			continue
		}
		list = append(list, link)
	}
	return list
}

func (l *links) favour(link *knownLink) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address, known := range l.known {
		if known == link {
			l.favourite = address
		}
	}
}

// disfavour lets the next call begin elsewhere: the link did not answer.
func (l *links) disfavour(link *knownLink) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.known[l.favourite] == link {
		l.favourite = ""
	}
}

// callLeader makes a call to whichever member leads.
func (l *links) callLeader(ctx context.Context, perTry time.Duration, kind wire.Kind, request, reply any) error {
	return l.askLeader(func(link *knownLink) error {
		callContext, cancel := context.WithTimeout(ctx, perTry)
		defer cancel()
		return link.CallOrDoubt(callContext, perTry, kind, request, reply)
	})
}

// errLate says that a try has not been answered in time, and goes on.
var errLate = errors.New("not answered in time, the try goes on")

// renew makes a renewal with whichever member leads. A try that has not been answered when
// the next one begins goes on for latePatience: where words wait for a full link, answers
// come late and are as good. Each try that ends is told to ended, also after renew returns.
func (l *links) renew(ctx context.Context, perTry time.Duration, request *wire.Renew, ended func(*wire.RenewReply, error)) error {
	return l.askLeader(func(link *knownLink) error {
		outcome := make(chan error, 1)
		go func() {
			callContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), latePatience)
			defer cancel()
			reply := &wire.RenewReply{}
			err := link.CallOrDoubt(callContext, perTry, wire.KindRenew, request, reply)
			if err == nil {
				l.favour(link)
			}
			ended(reply, err)
			outcome <- err
		}()
		timer := time.NewTimer(perTry)
		defer timer.Stop()
		select {
		case err := <-outcome:
			return err
		case <-timer.C:
			return errLate
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

// askLeader tries the member that answered last, then whichever member it names
// as leader, then the others. An error of the leader itself ends the search.
func (l *links) askLeader(try func(*knownLink) error) error {
	var last error = transport.ErrClosed
	left := l.candidates()
	for len(left) > 0 {
		next := left[0]
		left = left[1:]
		err := try(next)
		if err == nil {
			l.favour(next)
			return nil
		}
		last = err
		var refused *wire.Error
		if !errors.As(err, &refused) {
			l.disfavour(next)
			continue
		}
		if refused.Code != wire.CodeNotLeader {
			return err
		}
		l.learn(refused.LeaderAddress)
		left = leaderFirst(left, refused.Leader)
	}
	return last
}

// leaderFirst puts the member that was named as leader before the others.
func leaderFirst(left []*knownLink, leader string) []*knownLink {
	for i, link := range left {
		if conn := link.Conn(); conn != nil && leader != "" && conn.Peer.Name == leader {
			return append([]*knownLink{link}, slices.Delete(slices.Clone(left), i, i+1)...)
		}
	}
	return left
}
