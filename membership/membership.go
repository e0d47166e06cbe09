// Package membership knows the nodes: which process stands behind each name,
// whether it may own shards, and (on the leader) until when its lease runs. It
// is pure: time comes in as a value.
package membership

import "slices"

// SessionID names one incarnation of a node. It is the log index of the command
// that opened the session, so a later session has a higher number.
type SessionID uint64

// Node is one back-end instance with an agent beside it.
type Node struct {
	Name string
	// Session is the identity under which shards are owned.
	Session SessionID
	// Incarnation is drawn by the back-end process when it starts.
	Incarnation string
	// Born is the Unix millisecond at which the incarnation began, by its own machine's clock.
	// Zero: it does not say.
	Born int64
	Zone string
	// Address is host:port of the back end's listener for requests.
	Address string
	// Pool is the set of services that the node serves.
	Pool string
	// Version of the back end's software; empty: it does not say.
	Version string
	// Slots is how many requests the back end runs at once.
	Slots int
	// Connections that the back end accepts.
	Connections int
	// Gated nodes keep their own limits exactly: routers send without counting slots,
	// and are refused before the back end sees the request.
	Gated bool
	// Draining nodes get no new work; their shards are moved away.
	Draining bool
	// DrainCause is shown to operators.
	DrainCause string
	// Superseded sessions belong to an earlier process of the same name. They
	// keep what they own until their lease has run out, and get nothing new.
	Superseded bool
	// Process is drawn by the agent's process when it starts: one that comes back to the same back
	// end has the same session, and the word of the process before is late word.
	Process uint64
	// Fence is the least epoch under which the session is given shards. It is above every epoch
	// that the node was given under earlier sessions, and above the session's number.
	Fence uint64
	// Opened is the leader's wall clock, in Unix milliseconds.
	Opened int64
	// Revision of the last change of anything above.
	Revision uint64
	// TakesLate nodes have a back end that may carry out a grant long after it was sent.
	TakesLate bool
	// Lost sessions are superseded ones whose lease is over, while a grant that was sent under it may
	// still be carried out: what they own is nobody else's until then, and nobody sends them anything.
	Lost bool
}

// Eligible reports whether the node may be given shards and new requests.
func (n *Node) Eligible() bool { return !n.Draining && !n.Superseded }

// Table is the replicated list of open sessions.
//
// Invariant: at most one session of a name is not superseded.
type Table struct {
	Sessions map[SessionID]*Node
	// byName finds the session of a name that is not superseded.
	byName map[string]SessionID
	// superseded lists the other sessions of a name, in their order; derived.
	superseded map[string][]SessionID
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Sessions: map[SessionID]*Node{}, byName: map[string]SessionID{}, superseded: map[string][]SessionID{}}
}

// Reindex rebuilds what is derived from the exported fields, after decoding.
func (t *Table) Reindex() {
	if t.Sessions == nil {
		t.Sessions = map[SessionID]*Node{}
	}
	t.byName, t.superseded = map[string]SessionID{}, map[string][]SessionID{}
	for id, node := range t.Sessions {
		if !node.Superseded {
			t.byName[node.Name] = id
			continue
		}
		t.superseded[node.Name] = append(t.superseded[node.Name], id)
	}
	for _, sessions := range t.superseded {
		slices.Sort(sessions)
	}
}

// Superseded lists the sessions of a name that another one has superseded, in their order.
func (t *Table) Superseded(name string) []SessionID { return slices.Clone(t.superseded[name]) }

// Current returns the newest session of a name, or nil.
func (t *Table) Current(name string) *Node {
	return t.Sessions[t.byName[name]]
}

// Open adds a session. An agent that comes back to the same back-end process
// gets the session that it had; another process of the same name supersedes it.
// It returns the session and the superseded node, if any.
func (t *Table) Open(node Node, revision uint64) (opened, superseded *Node) {
	current := t.Current(node.Name)
	if current != nil && current.Incarnation == node.Incarnation {
		next := *current
		next.Address, next.Zone, next.Pool = node.Address, node.Zone, node.Pool
		next.Slots, next.Connections, next.Gated = node.Slots, node.Connections, node.Gated
		next.Process, next.TakesLate = node.Process, node.TakesLate
		next.Revision = revision
		t.Sessions[next.Session] = &next
		return &next, nil
	}
	if current != nil {
		next := *current
		next.Superseded = true
		next.Revision = revision
		t.Sessions[next.Session] = &next
		t.superseded[node.Name] = append(t.superseded[node.Name], next.Session)
		superseded = &next
	}
	node.Session = SessionID(revision)
	node.Revision = revision
	node.Fence = revision + 1
	node.Superseded = false
	t.Sessions[node.Session] = &node
	t.byName[node.Name] = node.Session
	return &node, superseded
}

// Lose takes that the lease of a session is over, and keeps what it owns from others. It returns the
// changed node, or nil when there is no such session or it is lost already.
func (t *Table) Lose(session SessionID, revision uint64) *Node {
	node := t.Sessions[session]
	if node == nil || node.Lost {
		return nil
	}
	next := *node
	next.Lost, next.Superseded, next.Revision = true, true, revision
	t.Sessions[session] = &next
	if t.byName[node.Name] == session {
		delete(t.byName, node.Name)
	}
	if !node.Superseded {
		t.superseded[node.Name] = append(t.superseded[node.Name], session)
	}
	return &next
}

// Close removes a session; it returns the node, or nil if there was none.
func (t *Table) Close(session SessionID) *Node {
	node := t.Sessions[session]
	if node == nil {
		return nil
	}
	delete(t.Sessions, session)
	if t.byName[node.Name] == session {
		delete(t.byName, node.Name)
	}
	if node.Superseded {
		t.forgetSuperseded(node.Name, session)
	}
	return node
}

func (t *Table) forgetSuperseded(name string, session SessionID) {
	left := slices.DeleteFunc(slices.Clone(t.superseded[name]), func(id SessionID) bool { return id == session })
	if len(left) == 0 {
		delete(t.superseded, name)
		return
	}
	t.superseded[name] = left
}

// RaiseFence has everything that a session is given from now on be above what it was given before.
func (t *Table) RaiseFence(session SessionID, fence uint64) {
	node := t.Sessions[session]
	if node == nil || node.Fence >= fence {
		return
	}
	next := *node
	next.Fence = fence
	t.Sessions[session] = &next
}

// SetDraining changes whether a node gets new work; it returns the changed node,
// or nil when there is no such session or nothing changed.
func (t *Table) SetDraining(session SessionID, draining bool, cause string, revision uint64) *Node {
	node := t.Sessions[session]
	if node == nil || node.Draining == draining {
		return nil
	}
	next := *node
	next.Draining = draining
	next.DrainCause = cause
	next.Revision = revision
	t.Sessions[session] = &next
	return &next
}

// Sorted lists all sessions by name, then by session.
func (t *Table) Sorted() []*Node {
	nodes := make([]*Node, 0, len(t.Sessions))
	for _, node := range t.Sessions {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b *Node) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(a.Session) - int(b.Session)
	})
	return nodes
}
