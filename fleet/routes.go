package fleet

import (
	"fmt"
	"slices"
	"time"

	"limehold/catalog"
	"limehold/decisions"
	"limehold/routing"
)

// Parameters of services that a route table defines. Such a service has a pool of
// the same name and is reached only through routes of the table.
const (
	// RoutedShards is the number of shards of a keyed service in a route table. Its keys
	// are numbers; narrow shards make it possible to spread adjacent busy keys.
	RoutedShards = 1024
	// routedChurnWeight is the cost of moving one shard. It is 1 for a service with
	// referenceShards shards and proportional to the share of the keys that one shard holds.
	routedChurnWeight = float64(referenceShards) / RoutedShards
	referenceShards   = 256
	// routedQueueLength bounds the requests queued at one router.
	routedQueueLength = 256
	// routedRetryBudgetPercent is the retry budget of each router, in percent of its requests.
	// It is slightly below the 20% that deployments allow in total over all routers.
	routedRetryBudgetPercent = 17
	// routedStaleness lets a router that is partitioned from control keep routing: owners
	// are fenced by their leases, and the table itself has no staleness bound.
	routedStaleness    = 24 * time.Hour
	routedStallTimeout = 20 * time.Second
	// routedMovesPerMinute bounds the planned moves of shards per minute.
	routedMovesPerMinute = 600 * RoutedShards / referenceShards
)

// changeRoutes applies a change to the route table and to the services that it defines.
func (a *applier) changeRoutes(change *routing.Change) Result {
	outcome := a.state.Routing.Apply(change, a.checkRoutedServices)
	if outcome.Verdict == routing.VerdictApplied && !outcome.Repeated {
		a.changes.Routes = change.WithoutSources()
		a.syncRoutedServices()
		a.addEvent(decisions.Event{Kind: decisions.KindRoutesChanged, To: fmt.Sprint(change.Version), Cause: "operator"})
	}
	return Result{Routes: &outcome}
}

// checkRoutedServices returns the first service of a route table that cannot be in force as the table defines it, or
// nil: its name belongs to a service with a template, or it differs from an existing one in whether its keys are
// divided, which is fixed while shards of it exist.
func (a *applier) checkRoutedServices(document *routing.Document) *routing.Invalid {
	for i := range document.Items {
		service := document.Items[i].Service
		if service == nil {
			continue
		}
		known := a.state.Catalog.Services[service.Name]
		switch {
		case known == nil:
		case !known.Routed():
			return &routing.Invalid{
				Item: "service " + service.Name, Field: "name", Value: service.Name,
				Want: "a service from template " + known.Template + " has this name: use another one, or retire that service first",
			}
		case known.Spec.Keyed != service.Keyed:
			return &routing.Invalid{
				Item: "service " + service.Name, Field: "keyed", Value: fmt.Sprint(service.Keyed),
				Want: fmt.Sprintf("the existing service of this name, which is %s, has %t: use another name, or wait until that one is removed", known.State, known.Spec.Keyed),
			}
		}
	}
	return nil
}

// syncRoutedServices creates, updates and retires services to match the table.
func (a *applier) syncRoutedServices() {
	document := &a.state.Routing.Document
	for i := range document.Items {
		if service := document.Items[i].Service; service != nil {
			a.putRoutedService(service)
		}
	}
	for _, name := range a.state.Catalog.RoutedServices() {
		known := a.state.Catalog.Services[name]
		if document.Service(name) == nil && known.State == catalog.ServiceActive {
			changed := slices.Clone(a.changes.Services)
			a.retireService(&RetireService{Name: name, Expected: known.Revision})
			a.changes.Services = append(changed, name)
		}
	}
}

func (a *applier) putRoutedService(service *routing.Service) {
	name := service.Name
	known := a.state.Catalog.Services[name]
	spec := routedSpec(service)
	if !a.state.Catalog.PutRoutedService(name, spec, a.state.Revision) {
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
	spec.QueueLength = routedQueueLength
	spec.RetryBudgetPercent = routedRetryBudgetPercent
	spec.StalenessBound = catalog.Duration(routedStaleness)
	spec.StallTimeout = catalog.Duration(routedStallTimeout)
	spec.MovesPerMinute = routedMovesPerMinute
	if service.Keyed {
		spec.Keyed, spec.Shards = true, RoutedShards
		spec.Key = catalog.KeyRule{Source: catalog.KeyFromHeader, Ranges: true}
		spec.Weights.Churn = routedChurnWeight
	}
	spec.Complete()
	return spec
}
