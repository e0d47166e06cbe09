package catalog

import "reflect"

// PutRouted creates or changes a service that a route table names: it belongs to
// no template and has no match of its own. It returns false when nothing changed,
// or when the name belongs to a template's service, or when a change would need
// another division of its keys.
func (c *Catalog) PutRouted(name string, spec Spec, revision uint64) bool {
	known := c.Services[name]
	if known == nil {
		c.put(&Service{Name: name, Spec: spec, Revision: revision, Created: revision})
		return true
	}
	if known.Template != "" || known.Spec.Keyed != spec.Keyed || known.Spec.Shards != spec.Shards {
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

// Routed lists the services that belong to no template, sorted by name.
func (c *Catalog) Routed() []string {
	var names []string
	for _, name := range sortedKeys(c.Services) {
		if c.Services[name].Template == "" {
			names = append(names, name)
		}
	}
	return names
}
