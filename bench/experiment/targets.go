package experiment

import (
	"slices"

	"limehold/bench/fleet"
	"limehold/bench/judge"

	"limehold/clock"
)

// Targets are taken by one fault at a time: two faults that end each other
// would leave unclear which of them took effect. A control member is struck
// only while no other one is, as the group tolerates one loss.

// takeNode takes a node by name, or draws a free one of the keyed pool twice as
// often as any other.
func (r *run) takeNode(name string) (*fleet.Node, func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var free []*fleet.Node
	for _, node := range r.fleet.AllNodes() {
		if r.taken["node/"+node.Name] || name != "" && node.Name != name {
			continue
		}
		free = append(free, node)
		if node.Pool.Name == r.options.Shape.Pools[0].Name {
			free = append(free, node, node)
		}
	}
	if len(free) == 0 {
		return nil, nil
	}
	node := free[r.random.IntN(len(free))]
	return node, r.take("node/" + node.Name)
}

// take marks a target; the mutex is held.
func (r *run) take(target string) func() {
	r.taken[target] = true
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.taken, target)
	}
}

const oneMember = "member"

func (r *run) takeLeader() (*fleet.Member, func()) {
	return r.takeMember(func(leader string, member *fleet.Member) bool { return member.Name == leader })
}

func (r *run) takeFollower() (*fleet.Member, func()) {
	return r.takeMember(func(leader string, member *fleet.Member) bool { return member.Name != leader })
}

func (r *run) takeMember(wanted func(leader string, member *fleet.Member) bool) (*fleet.Member, func()) {
	var found *fleet.Member
	err := r.untilDone(func() error {
		// The group must be whole before it loses a member again.
		if err := r.allMembersAlive(); err != nil {
			return err
		}
		leader := r.fleet.Leader()
		if leader == nil {
			return errNoTarget
		}
		at := slices.IndexFunc(r.fleet.Members, func(member *fleet.Member) bool { return wanted(leader.Name, member) })
		found = r.fleet.Members[at]
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.taken[oneMember] {
			return errNoTarget
		}
		r.taken[oneMember] = true
		return nil
	})
	if err != nil {
		return nil, nil
	}
	return found, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.taken, oneMember)
	}
}

func (r *run) takeRouter(name string) (*fleet.Router, func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var free []*fleet.Router
	for _, router := range r.fleet.Routers {
		if !r.taken["router/"+router.Name] && (name == "" || router.Name == name) {
			free = append(free, router)
		}
	}
	if len(free) == 0 {
		return nil, nil
	}
	router := free[r.random.IntN(len(free))]
	return router, r.take("router/" + router.Name)
}

func (r *run) noteLoss(node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.losses = append(r.losses, judge.Loss{Node: node, At: clock.Now()})
}
