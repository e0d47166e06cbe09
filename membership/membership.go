// Package membership records the nodes: which process runs under each name, whether it may own shards
// and, on the leader, until when its lease is valid. It does no I/O and reads no clock: callers pass
// the time.
package membership

import "slices"

// SessionID identifies a session, which belongs to one incarnation of a node. It is the log index of the
// command that opened the session, so that a later session has a higher number.
type SessionID uint64

// Node is the session of a back-end instance with its agent.
type Node struct {
	Name string
	// Session is the identity by which the node owns shards.
	Session SessionID
	// Incarnation is a random ID that the back-end process chooses when it starts.
	Incarnation string
	// StartedAt is the start of the incarnation in Unix milliseconds by the clock of its machine, or 0 if
	// the back end does not report it.
	StartedAt int64
	Zone      string
	// Address is the host:port at which the back end accepts requests.
	Address string
	// Pool identifies the set of services that the node serves.
	Pool string
	// Version is the version of the back end's software, or empty if it is not reported.
	Version string
	// Slots is the number of requests that the back end runs at once.
	Slots int
	// Connections is the number of connections that the back end accepts.
	Connections int
	// SelfLimited nodes enforce their own limits: routers send without counting slots, and excess
	// requests are rejected before they reach the back end.
	SelfLimited bool
	// Draining nodes get no new work, and their shards are moved to other nodes.
	Draining bool
	// DrainCause is the reason shown to operators.
	DrainCause string
	// Superseded sessions were replaced by a later session of the same name, or are lost. They keep
	// their shards until they are closed, and get no new ones.
	Superseded bool
	// Process is a random ID that the agent chooses when it starts. An agent that restarts next to the
	// same back end keeps the session, and messages of its predecessor are then outdated.
	Process uint64
	// Fence is the least epoch under which the session may be assigned shards. It is above every
	// epoch assigned to earlier sessions of the node, and above the session's number.
	Fence uint64
	// Opened is when the session was opened, in Unix milliseconds by the leader's wall clock.
	Opened int64
	// Revision is that of the last change of the session other than by RaiseFence.
	Revision uint64
	// AppliesLate is set if the back end may apply a grant long after it was sent.
	AppliesLate bool
	// Lost sessions are superseded sessions whose lease has expired while a grant sent under it may
	// still be applied. Until then their shards go to no other session, and they get no requests.
	Lost bool
}

// Causes of drains that are not requested by the node's agent.
const (
	DrainCauseOperator = "operator"
	DrainCausePlatform = "the platform lists the machine as leaving"
)

// DrainedByAgent reports whether the node is draining because its agent has requested it. Such a drain ends
// when another process of the agent opens the session.
func (n *Node) DrainedByAgent() bool {
	return n.Draining && n.DrainCause != DrainCauseOperator && n.DrainCause != DrainCausePlatform
}

// Eligible reports whether the node may be assigned shards and get new requests.
func (n *Node) Eligible() bool { return !n.Draining && !n.Superseded }

// Table holds the open sessions as part of the replicated state.
//
// Invariant: at most one session of a name is not superseded.
type Table struct {
	Sessions map[SessionID]*Node
	// byName holds the session of each name that is not superseded. Derived; see Reindex.
	byName map[string]SessionID
	// superseded holds the other sessions of each name in ascending order. Derived; see Reindex.
	superseded map[string][]SessionID
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Sessions: map[SessionID]*Node{}, byName: map[string]SessionID{}, superseded: map[string][]SessionID{}}
}

// Reindex rebuilds the derived indexes after decoding.
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

// Superseded returns the superseded sessions of a name in ascending order.
func (t *Table) Superseded(name string) []SessionID { return slices.Clone(t.superseded[name]) }

// Current returns the session of a name that is not superseded, or nil if there is none.
func (t *Table) Current(name string) *Node {
	return t.Sessions[t.byName[name]]
}

// Open adds a session. A node of the same name and incarnation keeps its session, as only its agent has
// restarted; another incarnation supersedes the current session. Open returns the session, and the
// superseded one or nil.
func (t *Table) Open(node Node, revision uint64) (opened, superseded *Node) {
	current := t.Current(node.Name)
	if current != nil && current.Incarnation == node.Incarnation {
		next := *current
		next.Address, next.Zone, next.Pool = node.Address, node.Zone, node.Pool
		next.Slots, next.Connections, next.SelfLimited = node.Slots, node.Connections, node.SelfLimited
		next.Process, next.AppliesLate = node.Process, node.AppliesLate
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

// MarkLost marks a session as lost and superseded: its lease has expired, but its shards remain withheld
// from other sessions. It returns the changed node, or nil if there is no such session or it is
// already lost.
func (t *Table) MarkLost(session SessionID, revision uint64) *Node {
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

// Close removes a session. It returns the removed node, or nil if there was none.
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
		t.removeSuperseded(node.Name, session)
	}
	return node
}

func (t *Table) removeSuperseded(name string, session SessionID) {
	remaining := slices.DeleteFunc(slices.Clone(t.superseded[name]), func(id SessionID) bool { return id == session })
	if len(remaining) == 0 {
		delete(t.superseded, name)
		return
	}
	t.superseded[name] = remaining
}

// RaiseFence raises the least epoch under which the session may be assigned shards.
func (t *Table) RaiseFence(session SessionID, fence uint64) {
	node := t.Sessions[session]
	if node == nil || node.Fence >= fence {
		return
	}
	next := *node
	next.Fence = fence
	t.Sessions[session] = &next
}

// SetDraining sets whether a node is draining. It returns the changed node, or nil if there is no such
// session or nothing changes.
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

// Sorted returns all sessions ordered by name, then by session.
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
