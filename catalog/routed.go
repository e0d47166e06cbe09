package catalog

import "reflect"

// PutRoutedService creates or updates a service that a route table defines: it has no template
// and no match of its own. It returns false if nothing changed, if the name belongs to
// a service with a template, or if the update would change how the keys are divided.
func (c *Catalog) PutRoutedService(name string, spec Spec, revision uint64) bool {
	known := c.Services[name]
	if known == nil {
		c.put(&Service{Name: name, Spec: spec, Revision: revision, Created: revision})
		return true
	}
	if !known.Routed() || known.Spec.Keyed != spec.Keyed || known.Spec.Shards != spec.Shards {
		return false
	}
	if known.State == ServiceActive && reflect.DeepEqual(known.Spec, spec) {
		return false
	}
	next := *known
	next.Spec, next.State, next.Revision = spec, ServiceActive, revision
	c.put(&next)
	return true
}

// Routed reports whether a route table defines the service.
func (s *Service) Routed() bool { return s.Template == "" }

// RoutedServiceFailure rejects an operator's change of a service that a route table defines.
func RoutedServiceFailure(name string) *Failure {
	return failure(FailureReadOnly, "service %s is defined by the route table and has no template: change or remove its entry in the route table instead", name)
}

// RoutedServices lists the services without a template, sorted by name.
func (c *Catalog) RoutedServices() []string {
	var names []string
	for _, name := range sortedKeys(c.Services) {
		if c.Services[name].Routed() {
			names = append(names, name)
		}
	}
	return names
}
