package control

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/adminapi"
	"limehold/catalog"
	"limehold/consensus"
	"limehold/decisions"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wal"
	"limehold/wire"
)

// read runs view on a state that reflects every acknowledged change. With ?stale=true
// it runs view on this member's own state at once, which may be older.
func (m *Member) read(ctx context.Context, request *fasthttp.RequestCtx, view func(*fleet.State)) error {
	if string(request.QueryArgs().Peek("stale")) != "true" {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		if err := m.linearize(ctx); err != nil {
			return &wire.Error{Code: wire.CodeTimeout, Step: "confirm a read", Peer: m.options.Settings.Name,
				Message: "no leader confirmed that this member is current; add ?stale=true (--stale) for its own state. " + err.Error()}
		}
	}
	m.replica.view(view)
	return nil
}

func (m *Member) routeTemplates(ctx context.Context, request *fasthttp.RequestCtx, method, name string) (any, error) {
	if method == http.MethodGet {
		return m.readTemplates(ctx, request, name)
	}
	basis, err := basisOf(request)
	if err != nil {
		return nil, err
	}
	switch method {
	case http.MethodPost, http.MethodPut:
		template, err := catalog.ParseTemplate(request.PostBody())
		if err != nil {
			return nil, &catalog.Failure{Code: catalog.FailureInvalid, Message: err.Error()}
		}
		return m.change(ctx, request, order{fleet.TemplateResource(template.Name), "apply", basis, fleet.Command{ApplyTemplate: &fleet.ApplyTemplate{Template: template}}})
	case http.MethodDelete:
		return m.change(ctx, request, order{fleet.TemplateResource(name), "retire", basis, fleet.Command{RetireTemplate: &fleet.RetireTemplate{Name: name}}})
	}
	return nil, methodNotAllowed(method)
}

func (m *Member) readTemplates(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	list := []adminapi.Template{}
	err := m.read(ctx, request, func(state *fleet.State) {
		for _, template := range state.Catalog.Templates {
			if name == "" || template.Name == name {
				list = append(list, adminapi.Template{
					Name: template.Name, Description: template.Description, Parameters: template.Parameters,
					Spec: template.SpecText, Revision: template.Revision,
				})
			}
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(list, func(a, b adminapi.Template) int { return cmp.Compare(a.Name, b.Name) })
	return oneOrAll(list, name, "template")
}

func oneOrAll[T any](list []T, name, kind string) (any, error) {
	if name == "" {
		return list, nil
	}
	if len(list) == 0 {
		return nil, notFound(kind + " " + name)
	}
	return list[0], nil
}

func (m *Member) routeServices(ctx context.Context, request *fasthttp.RequestCtx, method, name string) (any, error) {
	if method == http.MethodGet {
		return m.readServices(ctx, request, name)
	}
	basis, err := basisOf(request)
	if err != nil {
		return nil, err
	}
	switch method {
	case http.MethodPost:
		var body adminapi.CreateServiceRequest
		if err := decodeBody(request, &body); err != nil {
			return nil, err
		}
		return m.change(ctx, request, order{fleet.ServiceResource(body.Name), "create", basis, fleet.Command{CreateService: &fleet.CreateService{Name: body.Name, Template: body.Template, Values: body.Values}}})
	case http.MethodPatch:
		var body adminapi.UpdateServiceRequest
		if err := decodeBody(request, &body); err != nil {
			return nil, err
		}
		return m.change(ctx, request, order{fleet.ServiceResource(name), "update", basis, fleet.Command{UpdateService: &fleet.UpdateService{Name: name, Values: body.Values}}})
	case http.MethodDelete:
		if err := m.checkNotRouted(ctx, request, name); err != nil {
			return nil, err
		}
		return m.change(ctx, request, order{fleet.ServiceResource(name), "retire", basis, fleet.Command{RetireService: &fleet.RetireService{Name: name}}})
	}
	return nil, methodNotAllowed(method)
}

// checkNotRouted rejects the retirement of a service that the route table defines. RetireService itself
// accepts one, because the retirement of services that the table no longer names goes through it.
func (m *Member) checkNotRouted(ctx context.Context, request *fasthttp.RequestCtx, name string) error {
	var routed bool
	err := m.read(ctx, request, func(state *fleet.State) {
		service := state.Catalog.Services[name]
		routed = service != nil && service.Routed()
	})
	if err != nil {
		return err
	}
	if routed {
		return catalog.RoutedServiceFailure(name)
	}
	return nil
}

func decodeBody(request *fasthttp.RequestCtx, target any) error {
	if err := json.Unmarshal(request.PostBody(), target); err != nil {
		return &catalog.Failure{Code: catalog.FailureInvalid, Message: "the request's body is not the expected JSON: " + err.Error()}
	}
	return nil
}

func (m *Member) readServices(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	list := []adminapi.Service{}
	err := m.read(ctx, request, func(state *fleet.State) {
		for _, service := range state.Catalog.Services {
			if name == "" || service.Name == name {
				list = append(list, adminapi.Service{
					Name: service.Name, Template: service.Template, Values: service.Values, State: service.State.String(),
					Revision: service.Revision, Spec: service.Spec, Shards: countPhases(state.Ownership.Shards[service.Name]),
				})
			}
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(list, func(a, b adminapi.Service) int { return cmp.Compare(a.Name, b.Name) })
	return oneOrAll(list, name, "service")
}

func countPhases(shards []ownership.Shard) map[string]int {
	counts := map[string]int{}
	for _, shard := range shards {
		counts[shard.Phase.String()]++
	}
	return counts
}

func (m *Member) routeNodes(ctx context.Context, request *fasthttp.RequestCtx, method, name, action string) (any, error) {
	if method == http.MethodGet && name != "" {
		return m.explainDrain(ctx, request, fleet.NodeResource(name), name, decisions.KindNodeDraining, decisions.KindNodeResumed)
	}
	if method == http.MethodGet {
		var list []adminapi.Node
		leader := m.leaderView(ctx)
		err := m.read(ctx, request, func(state *fleet.State) { list = nodeViews(state, &leader) })
		return list, err
	}
	if method != http.MethodPost || action != "drain" && action != "resume" && action != "ended" {
		return nil, methodNotAllowed(method)
	}
	basis, err := basisOf(request)
	if err != nil {
		return nil, err
	}
	order := order{resource: fleet.NodeResource(name), action: action, basis: basis}
	if action == "ended" {
		return m.endLostNode(ctx, request, order, name)
	}
	var session membership.SessionID
	var ordered bool
	if err := m.read(ctx, request, func(state *fleet.State) {
		ordered = state.IsDrainOrdered(name)
		if node := state.Membership.Current(name); node != nil {
			session = node.Session
		}
	}); err != nil {
		return nil, err
	}
	if session == 0 && !ordered {
		return nil, notFound("node " + name)
	}
	order.command = fleet.Command{SetDraining: &fleet.SetDraining{Session: session, Draining: action == "drain", Cause: membership.DrainCauseOperator, Node: name}}
	answer, err := m.change(ctx, request, order)
	if err == nil && action == "drain" {
		err = m.checkDrainedByOperator(ctx, request, session)
	}
	return answer, err
}

// checkDrainedByOperator rejects a drain that has no effect of its own, because the node is draining on
// behalf of its agent: that drain ends when the agent is back.
func (m *Member) checkDrainedByOperator(ctx context.Context, request *fasthttp.RequestCtx, session membership.SessionID) error {
	var rejection error
	err := m.read(ctx, request, func(state *fleet.State) {
		if node := state.Membership.Sessions[session]; node != nil && node.DrainedByAgent() {
			rejection = &catalog.Failure{Code: catalog.FailureConflict, Revision: node.Revision, Message: fmt.Sprintf(
				"node %s is draining already (%s) until its agent is back: drain it again then", node.Name, node.DrainCause)}
		}
	})
	if err != nil {
		return err
	}
	return rejection
}

func nodeViews(state *fleet.State, leader *wire.LeaderView) []adminapi.Node {
	silences := map[membership.SessionID]time.Duration{}
	for _, node := range leader.Nodes {
		silences[node.Session] = node.Silence
	}
	list := []adminapi.Node{}
	for _, node := range state.Membership.Sorted() {
		view := adminapi.Node{
			Name: node.Name, Session: uint64(node.Session), Zone: node.Zone, Address: node.Address, Pool: node.Pool,
			Slots: node.Slots, State: "live", DrainCause: node.DrainCause, Revision: state.OrderRevision(fleet.NodeResource(node.Name)),
			Shards: state.Ownership.OwnedCount(node.Session), SilenceMillis: silences[node.Session].Milliseconds(), Leased: leader.Leader == "" || hasLease(leader, node.Session),
		}
		switch {
		case node.Lost:
			view.State = "lost"
		case node.Superseded:
			view.State = "superseded"
		case node.Draining && view.Shards == 0:
			view.State = "drained"
		case node.Draining:
			view.State = "draining"
		}
		list = append(list, view)
	}
	return append(list, awayViews(state)...)
}

// awayViews lists the nodes that operators have drained and that have no session.
func awayViews(state *fleet.State) []adminapi.Node {
	var away []adminapi.Node
	for _, name := range slices.Sorted(maps.Keys(state.DrainOrders)) {
		if state.Membership.Current(name) == nil {
			away = append(away, adminapi.Node{Name: name, State: "drained", DrainCause: membership.DrainCauseOperator, Revision: state.OrderRevision(fleet.NodeResource(name))})
		}
	}
	return away
}

func (m *Member) routeMembers(ctx context.Context, request *fasthttp.RequestCtx, method, action string) (any, error) {
	if method == http.MethodGet {
		leader := m.leaderView(ctx)
		return m.memberViews(&leader), nil
	}
	if m.replica.status.Load().Role != consensus.RoleLeader {
		return nil, &wire.Error{Code: wire.CodeNotLeader, Step: "change members", Peer: m.options.Settings.Name,
			Message: "send this to the leader, member " + m.leaderName(), Leader: m.leaderName()}
	}
	var body adminapi.MemberChangeRequest
	if err := decodeBody(request, &body); err != nil {
		return nil, err
	}
	basis, err := basisOf(request)
	if err != nil {
		return nil, err
	}
	order := order{resource: "member/" + body.Name, action: action, basis: basis}
	err = m.changeMembersByOrder(ctx, order, body)
	m.logOrder(request, order, fleet.Result{}, err)
	if err != nil {
		return nil, err
	}
	leader := m.leaderView(ctx)
	return m.memberViews(&leader), nil
}

// changeMembersByOrder carries out an order on a member. An order is based on a configuration of the members, identified
// by its log index.
func (m *Member) changeMembersByOrder(ctx context.Context, order order, body adminapi.MemberChangeRequest) error {
	newest := m.replica.status.Load().ConfigurationIndex
	if order.basis == nil {
		return &BasisMissing{Revision: newest}
	}
	if *order.basis < newest {
		return &catalog.Failure{Code: catalog.FailureConflict, Revision: newest, Message: fmt.Sprintf(
			"%s of %s is based on revision %d, but the members have changed at revision %d; look at them, and give the order again if it still applies", order.action, order.resource, *order.basis, newest)}
	}
	switch order.action {
	case "add":
		return m.AddMember(ctx, body.Name, body.Address)
	case "replace":
		return m.ReplaceMember(ctx, body.Name, body.Address)
	case "remove":
		return m.RemoveMember(ctx, body.Name)
	}
	return notFound("action " + order.action)
}

// memberViews lists the members of the newest configuration with their health as the
// leader observes it.
func (m *Member) memberViews(leader *wire.LeaderView) []adminapi.Member {
	health := map[consensus.MemberID]wire.MemberHealth{}
	for _, member := range leader.Members {
		health[member.ID] = member
	}
	status := m.replica.status.Load()
	list := []adminapi.Member{}
	for _, member := range status.Configuration.Members {
		known := health[member.ID]
		view := adminapi.Member{
			Name: member.Name, ID: member.ID.String(), Address: member.Address, Role: "follower",
			Alive: known.Alive, MatchIndex: known.Match, LostLog: known.LostLog,
			DiskFull: known.DiskFull || member.ID == m.storage.identity.ID && status.DiskFull,
		}
		switch {
		case member.ID == status.Leader:
			view.Role = "leader"
		case !status.Configuration.IsVoter(member.ID):
			view.Role = "learner"
		}
		list = append(list, view)
	}
	return list
}

func routerView(status wire.RouterStatus) adminapi.Router {
	return adminapi.Router{
		Name: status.Name, Zone: status.Zone, Revision: status.Revision,
		AgeMillis: status.Age.Milliseconds(), Member: status.Member,
	}
}

func (m *Member) adminStatus(ctx context.Context, request *fasthttp.RequestCtx) (any, error) {
	status := m.replica.status.Load()
	leader := m.leaderView(ctx)
	answer := &adminapi.Status{
		Cluster: m.options.Settings.Cluster, Member: m.options.Settings.Name, Leader: leader.Leader,
		Term: status.Term, Shards: map[string]int{}, Members: m.memberViews(&leader),
	}
	err := m.read(ctx, request, func(state *fleet.State) {
		answer.Revision = state.Revision
		answer.Services = len(state.Catalog.Services)
		answer.Nodes = nodeViews(state, &leader)
		for _, shards := range state.Ownership.Shards {
			for phase, count := range countPhases(shards) {
				answer.Shards[phase] += count
			}
		}
	})
	if err != nil {
		return nil, err
	}
	for _, router := range m.allRouters(ctx).routers {
		answer.Routers = append(answer.Routers, routerView(router))
	}
	answer.ToleratedLosses = toleratedLosses(answer.Members, status.Configuration)
	return answer, nil
}

// toleratedLosses returns how many voters that are alive and have room on their disks the group can lose and still
// have a quorum.
func toleratedLosses(members []adminapi.Member, configuration consensus.Configuration) int {
	usable := map[string]bool{}
	for _, member := range members {
		usable[member.ID] = member.Alive && !member.LostLog && !member.DiskFull
	}
	return max(0, configuration.SpareVoters(func(id consensus.MemberID) bool { return usable[id.String()] }))
}

func eventView(event decisions.Event) adminapi.Event {
	return adminapi.Event{
		Revision: event.Revision, At: time.UnixMilli(event.At).UTC().Format(time.RFC3339Nano), Kind: string(event.Kind),
		Service: event.Service, Shards: event.Shards, From: event.From, To: event.To, Cause: event.Cause,
	}
}

func (m *Member) adminJournal(ctx context.Context, request *fasthttp.RequestCtx) (any, error) {
	const defaultEvents = 200
	since, _ := strconv.ParseUint(string(request.QueryArgs().Peek("since")), 10, 64)
	limit, err := strconv.Atoi(string(request.QueryArgs().Peek("limit")))
	if err != nil || limit < 1 {
		limit = defaultEvents
	}
	list := []adminapi.Event{}
	err = m.read(ctx, request, func(state *fleet.State) {
		for _, event := range state.Journal.Since(since, limit) {
			list = append(list, eventView(event))
		}
	})
	return list, err
}

func (m *Member) adminExplain(ctx context.Context, request *fasthttp.RequestCtx) (any, error) {
	service := string(request.QueryArgs().Peek("service"))
	key := string(request.QueryArgs().Peek("key"))
	if service == "" || key == "" {
		return nil, &catalog.Failure{Code: catalog.FailureInvalid, Message: "both parameters are required: ?service=NAME&key=KEY"}
	}
	var answer *adminapi.Explanation
	var explainErr error
	err := m.read(ctx, request, func(state *fleet.State) { answer, explainErr = explain(state, service, key) })
	if err == nil {
		err = explainErr
	}
	return answer, err
}

func explain(state *fleet.State, serviceName, key string) (*adminapi.Explanation, error) {
	service := state.Catalog.Services[serviceName]
	if service == nil {
		return nil, notFound("service " + serviceName)
	}
	if !service.Spec.Keyed {
		return nil, &catalog.Failure{Code: catalog.FailureInvalid, Message: "service " + serviceName + " is not divided by key: any instance of pool " + service.Spec.Pool + " may answer"}
	}
	number := ownership.ShardOf([]byte(key), service.Spec.Shards)
	shard, _ := state.Ownership.Get(ownership.Key{Service: serviceName, Shard: number})
	answer := &adminapi.Explanation{
		Service: serviceName, Key: key, Shard: number, Shards: service.Spec.Shards,
		Phase: shard.Phase.String(), Epoch: shard.Epoch, EventsDropped: state.Journal.Dropped > 0,
	}
	if node := state.Membership.Sessions[shard.Owner]; node != nil {
		answer.Owner, answer.Zone, answer.Address = node.Name, node.Zone, node.Address
	}
	if node := state.Membership.Sessions[shard.Target]; node != nil {
		answer.Target = node.Name
	}
	for _, event := range state.Journal.ForShard(serviceName, number) {
		answer.Events = append(answer.Events, eventView(event))
	}
	answer.Reason = reasonOf(answer)
	if drained := drainedZones(state); answer.Owner == "" && len(drained) > 0 {
		answer.Reason += "; drained zones: " + strings.Join(drained, ", ")
	}
	return answer, nil
}

// reasonOf explains, from the newest event that assigned the shard, why its owner has it.
func reasonOf(answer *adminapi.Explanation) string {
	if answer.Owner == "" {
		return fmt.Sprintf("shard %d has no owner: no node of its pool could take it yet", answer.Shard)
	}
	for _, event := range slices.Backward(answer.Events) {
		if event.Kind == string(decisions.KindAssigned) {
			return fmt.Sprintf("hash of the key modulo %d is shard %d; %s has owned it since revision %d (%s), under epoch %d: %s",
				answer.Shards, answer.Shard, answer.Owner, event.Revision, event.At, answer.Epoch, event.Cause)
		}
	}
	return fmt.Sprintf("%s owns shard %d under epoch %d; the event that assigned it is older than the journal", answer.Owner, answer.Shard, answer.Epoch)
}

// adminSnapshot returns the current state as a snapshot file.
func (m *Member) adminSnapshot(ctx context.Context, request *fasthttp.RequestCtx) (any, error) {
	status := m.replica.status.Load()
	snapshot := consensus.Snapshot{Term: status.Term, Configuration: status.Configuration}
	var encodeErr error
	err := m.read(ctx, request, func(state *fleet.State) {
		snapshot.Index = state.Revision
		snapshot.Data, encodeErr = state.Encode()
	})
	if err != nil {
		return nil, err
	}
	if encodeErr != nil {
		return nil, encodeErr
	}
	file, err := wal.EncodeSnapshot(snapshot)
	return rawFile(file), err
}
