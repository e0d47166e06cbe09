package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"limehold/catalog"
	"limehold/decisions"
	"limehold/membership"
	"limehold/ownership"
)

// Apply applies the command at a log index and sets Revision to that index. An index that
// has been applied before changes nothing. A command whose ID is already recorded changes
// nothing else and returns the recorded result, with the revision at which it took effect;
// a different command under the same ID fails. An Order that is not based on the newest order on its
// resource fails without a record, so that it can be sent again on a newer basis.
func (s *State) Apply(index uint64, command *Command) (Result, Changes) {
	if index <= s.Revision {
		return Result{Revision: s.Revision}, Changes{Revision: s.Revision}
	}
	s.Revision = index
	changes := Changes{Revision: index}
	if command.ID != "" {
		if record, known := s.Records[command.ID]; known {
			if record.Digest != command.Digest() {
				return Result{Revision: index, Failure: reusedIDFailure(command.ID)}, changes
			}
			return record.Result, changes
		}
	}
	a := applier{state: s, at: command.At, order: command.Order, changes: &changes}
	if command.Order != nil {
		if failure := s.checkBasis(command.Order); failure != nil {
			return Result{Revision: index, Failure: failure}, changes
		}
	}
	result := a.dispatch(command)
	if command.Order != nil && result.Failure == nil {
		a.recordOrder(command.Order)
	}
	result.Revision = index
	if command.ID != "" {
		s.keepRecord(command.ID, Record{At: command.At, Result: result, Digest: command.Digest()})
	}
	return result, changes
}

func reusedIDFailure(id string) *catalog.Failure {
	return &catalog.Failure{
		Code:    catalog.FailureInvalid,
		Message: "command ID " + id + " was used for another command: draw a new one for each command, and keep it only for sending the same one again",
	}
}

// keepRecord stores a record and drops those that are older than it by more than
// RecordRetention. Age is measured against the time of the new record, never against a
// local clock, so that all members drop the same records.
func (s *State) keepRecord(id string, record Record) {
	s.Records[id] = record
	s.RecordOrder = append(s.RecordOrder, id)
	oldest := record.At - RecordRetention.Milliseconds()
	drop := 0
	for drop < len(s.RecordOrder) && s.Records[s.RecordOrder[drop]].At < oldest {
		delete(s.Records, s.RecordOrder[drop])
		drop++
	}
	s.RecordOrder = slices.Delete(s.RecordOrder, 0, drop)
}

// applier holds the context of one command while it is applied.
type applier struct {
	state *State
	at    int64
	// order is the Order of the command, nil if it has none.
	order   *Order
	changes *Changes
}

func (a *applier) dispatch(command *Command) Result {
	switch {
	case command.ApplyTemplate != nil:
		return a.applyTemplate(command.ApplyTemplate)
	case command.RetireTemplate != nil:
		return a.retireTemplate(command.RetireTemplate)
	case command.CreateService != nil:
		return a.createService(command.CreateService)
	case command.UpdateService != nil:
		return a.updateService(command.UpdateService)
	case command.RetireService != nil:
		return a.retireService(command.RetireService)
	case command.RemoveService != nil:
		return a.removeService(command.RemoveService)
	case command.OpenSession != nil:
		return a.openSession(command.OpenSession)
	case command.CloseSessions != nil:
		return a.closeSessions(command.CloseSessions)
	case command.MarkSessionsLost != nil:
		return a.markSessionsLost(command.MarkSessionsLost)
	case command.SetDraining != nil:
		return a.setDraining(command.SetDraining)
	case command.Assign != nil:
		return a.assign(command.Assign)
	case command.Transfer != nil:
		return a.transfer(command.Transfer)
	case command.Release != nil:
		return a.release(command.Release)
	case command.ChangeRoutes != nil:
		return a.changeRoutes(command.ChangeRoutes)
	case command.SetZoneDraining != nil:
		return a.setZoneDraining(command.SetZoneDraining)
	case command.RecordReports != nil:
		return a.recordReports(command.RecordReports)
	case command.ReleaseRequest != nil:
		return a.releaseRequest(command.ReleaseRequest)
	case command.UpdateQuarantine != nil:
		return a.updateQuarantine(command.UpdateQuarantine)
	case command.ClaimTrial != nil:
		return a.claimTrial(command.ClaimTrial)
	case command.RecordDeparture != nil:
		return a.recordDeparture(command.RecordDeparture)
	}
	return Result{Failure: &catalog.Failure{Code: catalog.FailureInvalid, Message: "the command is empty or of a newer version"}}
}

func (a *applier) addEvent(event decisions.Event) {
	event.Revision = a.state.Revision
	event.At = a.at
	a.state.Journal.Add(event)
}

func (a *applier) applyTemplate(command *ApplyTemplate) Result {
	services, failure := a.state.Catalog.ApplyTemplate(command.Template, a.expectedRevision(command.Expected), a.state.Revision)
	if failure != nil {
		return Result{Failure: failure}
	}
	a.changes.Templates = true
	a.changes.Services = services
	a.addEvent(decisions.Event{Kind: decisions.KindTemplateApplied, To: command.Template.Name, Cause: "operator"})
	return Result{}
}

func (a *applier) retireTemplate(command *RetireTemplate) Result {
	if failure := a.state.Catalog.RetireTemplate(command.Name, a.expectedRevision(command.Expected)); failure != nil {
		return Result{Failure: failure}
	}
	a.changes.Templates = true
	a.addEvent(decisions.Event{Kind: decisions.KindTemplateRetired, From: command.Name, Cause: "operator"})
	return Result{}
}

func (a *applier) createService(command *CreateService) Result {
	failure := a.state.Catalog.CreateService(command.Name, command.Template, command.Values, a.state.Revision)
	if failure != nil {
		return Result{Failure: failure}
	}
	service := a.state.Catalog.Services[command.Name]
	if service.Spec.Keyed {
		a.state.Ownership.AddService(command.Name, service.Spec.Shards, a.state.LastEpoch)
	}
	a.changes.Services = []string{command.Name}
	a.addEvent(decisions.Event{Kind: decisions.KindServiceCreated, Service: command.Name, Cause: "operator, from template " + command.Template})
	return Result{}
}

func (a *applier) updateService(command *UpdateService) Result {
	failure := a.state.Catalog.UpdateService(command.Name, command.Values, a.expectedRevision(command.Expected), a.state.Revision)
	if failure != nil {
		return Result{Failure: failure}
	}
	a.changes.Services = []string{command.Name}
	a.addEvent(decisions.Event{Kind: decisions.KindServiceUpdated, Service: command.Name, Cause: "operator"})
	return Result{}
}

func (a *applier) retireService(command *RetireService) Result {
	failure := a.state.Catalog.RetireService(command.Name, a.expectedRevision(command.Expected), a.state.Revision)
	if failure != nil {
		return Result{Failure: failure}
	}
	a.changes.Services = []string{command.Name}
	for number, shard := range a.state.Ownership.Shards[command.Name] {
		if shard.Phase == ownership.PhaseFree {
			continue
		}
		key := ownership.Key{Service: command.Name, Shard: uint32(number)}
		if a.state.Ownership.BeginTransfer(key, shard.Epoch, 0) == nil {
			a.shardChanged(key, shard.Owner)
		}
	}
	a.addEvent(decisions.Event{Kind: decisions.KindServiceRetiring, Service: command.Name, Cause: "operator"})
	return Result{}
}

func (a *applier) removeService(command *RemoveService) Result {
	service := a.state.Catalog.Services[command.Name]
	if service == nil || service.State != catalog.ServiceRetiring {
		return Result{Stale: 1}
	}
	for _, shard := range a.state.Ownership.Shards[command.Name] {
		a.state.LastEpoch = max(a.state.LastEpoch, shard.Epoch)
	}
	if !a.state.Ownership.RemoveService(command.Name) {
		return Result{Stale: 1}
	}
	a.state.Catalog.RemoveService(command.Name)
	a.changes.RemovedServices = []string{command.Name}
	a.addEvent(decisions.Event{Kind: decisions.KindServiceRemoved, Service: command.Name, Cause: "retired by an operator, all shards released"})
	return Result{}
}

func (a *applier) openSession(command *OpenSession) Result {
	node := command.Node
	node.Opened = a.at
	current := a.state.Membership.Current(node.Name)
	if current != nil && node.StartedAt > 0 && node.StartedAt < current.StartedAt {
		// A delayed request for an earlier incarnation, from an agent that has not seen the
		// current one, must not supersede its session.
		return Result{Failure: &catalog.Failure{Code: catalog.FailureConflict, Message: fmt.Sprintf(
			"incarnation %s of node %s began at %d, before %s, which began at %d: present the one that began last", node.Incarnation, node.Name, node.StartedAt, current.Incarnation, current.StartedAt)}}
	}
	opened, superseded := a.state.Membership.Open(node, a.state.Revision)
	a.changes.Nodes = []membership.SessionID{opened.Session}
	a.changes.sessionChanged(opened.Session)
	switch {
	case superseded != nil:
		a.changes.Nodes = append(a.changes.Nodes, superseded.Session)
		a.addEvent(decisions.Event{Kind: decisions.KindNodeReplaced, From: superseded.Name, To: opened.Name, Cause: "another process came up under the same name"})
		switch {
		case command.PredecessorsEnded:
			a.closeSession(superseded.Session, "its successor knows that nothing is held of it")
		case command.Exclusive && node.Address == superseded.Address && superseded.StartedAt > 0 && node.StartedAt > superseded.StartedAt:
			a.closeSession(superseded.Session, "its successor began later, at the same place")
		case a.state.Ownership.OwnedCount(superseded.Session) == 0:
			a.closeSession(superseded.Session, "it owned nothing")
		}
	case current == nil:
		a.addEvent(decisions.Event{Kind: decisions.KindNodeJoined, To: opened.Name, Cause: "session opened from zone " + opened.Zone})
	}
	return Result{Session: opened.Session, Superseded: len(a.superseded(opened.Session)) > 0}
}

// superseded lists the sessions of the node that the given session has superseded, in
// order. It is empty if the session itself has been superseded.
func (a *applier) superseded(session membership.SessionID) []membership.SessionID {
	current := a.state.Membership.Sessions[session]
	if current == nil || current.Superseded {
		return nil
	}
	return a.state.Membership.Superseded(current.Name)
}

func (a *applier) closeSessions(command *CloseSessions) Result {
	refused := 0
	delete(a.state.DrainOrders, command.EndedNode)
	sessions := append(slices.Clone(command.Sessions), a.superseded(command.Superseded)...)
	for _, session := range sessions {
		if node := a.state.Membership.Sessions[session]; node != nil && command.Process != 0 && node.Process != command.Process {
			// The agent has restarted, and the new process may have sent further grants.
			refused++
			continue
		}
		if !a.closeSession(session, command.Cause) {
			refused++
		}
	}
	return Result{Stale: refused}
}

func (a *applier) markSessionsLost(command *MarkSessionsLost) Result {
	refused := 0
	for _, session := range command.Sessions {
		owned := a.state.Ownership.Owned(session)
		if len(owned) == 0 {
			if !a.closeSession(session, command.Cause) {
				refused++
			}
			continue
		}
		node := a.state.Membership.MarkLost(session, a.state.Revision)
		if node == nil {
			refused++
			continue
		}
		a.changes.Nodes = append(a.changes.Nodes, session)
		a.changes.sessionChanged(session)
		a.addShardEvents(decisions.KindHeldBack, owned, node.Name, "", command.Cause)
	}
	return Result{Stale: refused}
}

// closeSession closes a session and frees its shards. It returns false if the session does not exist.
func (a *applier) closeSession(session membership.SessionID, cause string) bool {
	node := a.state.Membership.Close(session)
	if node == nil {
		return false
	}
	a.changes.RemovedNodes = append(a.changes.RemovedNodes, session)
	a.changes.sessionChanged(session)
	keys := a.state.Ownership.CloseSession(session)
	a.changes.Shards = append(a.changes.Shards, keys...)
	a.addEvent(decisions.Event{Kind: decisions.KindNodeLost, From: node.Name, Cause: cause})
	a.addShardEvents(decisions.KindReleased, keys, node.Name, "", cause)
	slices.SortFunc(a.changes.Shards, compareKeys)
	return true
}

func (a *applier) setDraining(command *SetDraining) Result {
	session := command.Session
	if command.Node != "" {
		current := a.state.Membership.Current(command.Node)
		if failure := a.recordDrainOrder(command, current); failure != nil {
			return Result{Failure: failure}
		}
		if current == nil {
			return Result{}
		}
		session = current.Session
	}
	node := a.state.Membership.SetDraining(session, command.Draining, command.Cause, a.state.Revision)
	if node == nil {
		return Result{Stale: 1}
	}
	a.changes.Nodes = []membership.SessionID{node.Session}
	a.changes.sessionChanged(node.Session)
	kind := decisions.KindNodeResumed
	if command.Draining {
		kind = decisions.KindNodeDraining
	}
	a.addEvent(decisions.Event{Kind: kind, From: node.Name, Cause: a.orderCause(command.Cause)})
	return Result{}
}

func (a *applier) assign(command *Assign) Result {
	refused := 0
	groups := newEventGroups(decisions.KindAssigned, command.Cause)
	for _, decision := range command.Decisions {
		if !a.assignShard(decision) {
			refused++
			continue
		}
		groups.add(decision.Key, "", a.nodeName(decision.To))
	}
	a.addGroupEvents(groups)
	return Result{Stale: refused}
}

// assignShard assigns a free shard to a session. It returns false if the session is closed
// or must not own the shard, if the service is not active, or if the decision is outdated.
func (a *applier) assignShard(decision ShardDecision) bool {
	target := a.state.Membership.Sessions[decision.To]
	service := a.state.Catalog.Services[decision.Key.Service]
	if target == nil || !a.state.Eligible(target) || service == nil || service.State != catalog.ServiceActive {
		return false
	}
	if target.Pool != service.Spec.Pool {
		return false
	}
	// No epoch exceeds the revision at which it is assigned, and target.Fence exceeds the
	// revision at which the session was opened. The new epoch is therefore above all epochs
	// of the node's earlier sessions, and an instance that has received it rejects these. The
	// lower bound is the fence rather than an epoch that is new with each command, because
	// adjacent shards can be granted together only under one epoch.
	next := max(decision.Next, decision.Epoch+1, target.Fence)
	if a.state.Ownership.Assign(decision.Key, decision.Epoch, next, decision.To) != nil {
		return false
	}
	a.shardChanged(decision.Key, decision.To)
	return true
}

func (a *applier) transfer(command *Transfer) Result {
	refused := 0
	groups := newEventGroups(decisions.KindTransferBegun, command.Cause)
	for _, decision := range command.Decisions {
		shard, _ := a.state.Ownership.Get(decision.Key)
		if a.state.Ownership.BeginTransfer(decision.Key, decision.Epoch, decision.To) != nil {
			refused++
			continue
		}
		a.shardChanged(decision.Key, shard.Owner)
		groups.add(decision.Key, a.nodeName(shard.Owner), a.nodeName(decision.To))
	}
	a.addGroupEvents(groups)
	return Result{Stale: refused}
}

func (a *applier) release(command *Release) Result {
	refused := 0
	released := newEventGroups(decisions.KindReleased, "the owner finished what was in flight and let go")
	assigned := newEventGroups(decisions.KindAssigned, "transfer completed")
	for _, item := range command.Shards {
		target, err := a.state.Ownership.Release(item.Key, item.Epoch, command.Session, item.Token)
		if err != nil {
			refused++
			continue
		}
		a.shardChanged(item.Key, command.Session)
		released.add(item.Key, a.nodeName(command.Session), "")
		if command.Reassign {
			// Only after a shard was released: a resent command must not raise any epoch.
			a.state.Membership.RaiseFence(command.Session, a.state.Revision)
			target = cmp.Or(target, command.Session)
		}
		if target != 0 && a.assignShard(ShardDecision{Key: item.Key, Epoch: item.Epoch, To: target}) {
			assigned.add(item.Key, a.nodeName(command.Session), a.nodeName(target))
		}
	}
	a.addGroupEvents(released)
	a.addGroupEvents(assigned)
	return Result{Stale: refused}
}

func (a *applier) shardChanged(key ownership.Key, session membership.SessionID) {
	if !slices.Contains(a.changes.Shards[max(0, len(a.changes.Shards)-1):], key) {
		a.changes.Shards = append(a.changes.Shards, key)
	}
	a.changes.sessionChanged(session, key)
}

func (a *applier) nodeName(session membership.SessionID) string {
	if node := a.state.Membership.Sessions[session]; node != nil {
		return node.Name
	}
	return ""
}
