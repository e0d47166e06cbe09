package experiment

import (
	"slices"

	"limehold/bench/fleet"
	"limehold/bench/judge"

	"limehold/clock"
)

// A target is reserved by one fault at a time, because a second fault could undo the first one before it takes
// effect. All control members share one reservation, since the group tolerates the loss of only one.

// reserveNode reserves the named node, or a random one if name is empty. A node of
// the first pool, which is keyed, is three times as likely as any other node. The
// second result releases the node; both results are nil if none is available.
func (r *run) reserveNode(name string) (*fleet.Node, func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var available []*fleet.Node
	for _, node := range r.fleet.AllNodes() {
		if r.reserved["node/"+node.Name] || name != "" && node.Name != name {
			continue
		}
		available = append(available, node)
		if node.Pool.Name == r.options.Shape.Pools[0].Name {
			available = append(available, node, node)
		}
	}
	if len(available) == 0 {
		return nil, nil
	}
	node := available[r.random.IntN(len(available))]
	return node, r.reserve("node/" + node.Name)
}

// reserve reserves a target and returns the function that releases it. The caller holds r.mutex.
func (r *run) reserve(target string) func() {
	r.reserved[target] = true
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.reserved, target)
	}
}

const memberTarget = "member"

func (r *run) reserveLeader() (*fleet.Member, func()) {
	return r.reserveMember(func(leader string, member *fleet.Member) bool { return member.Name == leader })
}

func (r *run) reserveFollower() (*fleet.Member, func()) {
	return r.reserveMember(func(leader string, member *fleet.Member) bool { return member.Name != leader })
}

func (r *run) reserveMember(wanted func(leader string, member *fleet.Member) bool) (*fleet.Member, func()) {
	var found *fleet.Member
	err := r.retry(func() error {
		// All members must be alive, since the group tolerates the loss of only one.
		if err := r.allMembersAlive(); err != nil {
			return err
		}
		leader := r.fleet.Leader()
		if leader == nil {
			return errNoTarget
		}
		index := slices.IndexFunc(r.fleet.Members, func(member *fleet.Member) bool { return wanted(leader.Name, member) })
		found = r.fleet.Members[index]
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.reserved[memberTarget] {
			return errNoTarget
		}
		r.reserved[memberTarget] = true
		return nil
	})
	if err != nil {
		return nil, nil
	}
	return found, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.reserved, memberTarget)
	}
}

func (r *run) reserveRouter(name string) (*fleet.Router, func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var available []*fleet.Router
	for _, router := range r.fleet.Routers {
		if !r.reserved["router/"+router.Name] && (name == "" || router.Name == name) {
			available = append(available, router)
		}
	}
	if len(available) == 0 {
		return nil, nil
	}
	router := available[r.random.IntN(len(available))]
	return router, r.reserve("router/" + router.Name)
}

func (r *run) recordLoss(node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.nodeFailures = append(r.nodeFailures, judge.NodeFailure{Node: node, At: clock.Now()})
}
