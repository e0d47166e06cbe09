package fleet

import (
	"fmt"
	"slices"
	"time"

	"limehold/catalog"
	"limehold/decisions"
	"limehold/routing"
)

// Parameters of services that a route table names. Such a service has a pool of
// its own name, and routes reach it only through the table.
const (
	// RoutedShards is how many shards a keyed service of a route table has: they cut
	// the numbers that are keys fine enough to even out busy ones that stand close
	// together.
	RoutedShards = 1024
	// routedChurn is the price of moving one of them: that of a shard of a service
	// that is divided into referenceShards, by its share of the keys.
	routedChurn     = float64(referenceShards) / RoutedShards
	referenceShards = 256
	// routedQueue bounds the requests that wait at one router.
	routedQueue = 256
	// routedRetryBudget in percent of the requests is a little less than the fifth that
	// deployments allow in sum over all routers.
	routedRetryBudget = 17
	// routedStaleness lets a router that is cut off from control go on: owners are
	// fenced by their leases, and a table has no bound of its own.
	routedStaleness = 24 * time.Hour
	routedStall     = 20 * time.Second
	// routedMoves a minute bound the planned moves of its shards.
	routedMoves = 600 * RoutedShards / referenceShards
)

// changeRoutes changes the route table and the services that it names.
func (a *application) changeRoutes(change *routing.Change) Result {
	outcome := a.state.Routing.Apply(change)
	if outcome.Verdict == routing.VerdictTaken && !outcome.Repeated {
		a.changes.Routes = change.WithoutSources()
		a.followRoutedServices()
		a.log(decisions.Event{Kind: decisions.KindRoutesChanged, To: fmt.Sprint(change.Version), Cause: "operator"})
	}
	return Result{Routes: &outcome}
}

// followRoutedServices creates, changes and retires services as the table says.
func (a *application) followRoutedServices() {
	document := &a.state.Routing.Document
	for i := range document.Items {
		if service := document.Items[i].Service; service != nil {
			a.putRouted(service)
		}
	}
	for _, name := range a.state.Catalog.Routed() {
		known := a.state.Catalog.Services[name]
		if document.Service(name) == nil && known.State == catalog.ServiceActive {
			changed := slices.Clone(a.changes.Services)
			a.retireService(&RetireService{Name: name, Expected: known.Revision})
			a.changes.Services = append(changed, name)
		}
	}
}

func (a *application) putRouted(service *routing.Service) {
	name := service.Name
	known := a.state.Catalog.Services[name]
	spec := routedSpec(service)
	if !a.state.Catalog.PutRouted(name, spec, a.state.Revision) {
		return
	}
	if known == nil && spec.Keyed {
		a.state.Ownership.AddService(name, spec.Shards, a.state.LastEpoch)
	}
	a.changes.Services = append(a.changes.Services, name)
}

func routedSpec(service *routing.Service) catalog.Spec {
	spec := catalog.NewSpec()
	spec.Pool = service.Name
	spec.QueueLength = routedQueue
	spec.RetryBudgetPercent = routedRetryBudget
	spec.StalenessBound = catalog.Duration(routedStaleness)
	spec.StallTimeout = catalog.Duration(routedStall)
	spec.MovesPerMinute = routedMoves
	if service.Keyed {
		spec.Keyed, spec.Shards = true, RoutedShards
		spec.Key = catalog.KeyRule{Source: catalog.KeyFromHeader, Ranges: true}
		spec.Weights.Churn = routedChurn
	}
	spec.Complete()
	return spec
}
