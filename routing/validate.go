package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxTargetOverTimeout is the exclusive upper bound of the difference between a route's target
// latency and its timeout.
const maxTargetOverTimeout = time.Minute

// Invalid describes the first error of a document.
type Invalid struct {
	// Item names the entry, for example "route r-1".
	Item string
	// Field and Value are what was rejected; Want describes a valid value.
	Field string
	Value string
	Want  string
}

// Error implements error.
func (i *Invalid) Error() string {
	return fmt.Sprintf("%s: %s is %q: %s", i.Item, i.Field, i.Value, i.Want)
}

// Validate returns the first error of the document, or nil.
func (d *Document) Validate() *Invalid { return d.validate(false) }

// validate is Validate; legacy selects the rules for changes that were recorded before uploads and tenants existed.
func (d *Document) validate(legacy bool) *Invalid {
	services := map[string]bool{}
	for i := range d.Items {
		if service := d.Items[i].Service; service != nil {
			services[service.Name] = true
		}
	}
	type location struct{ host, prefix string }
	routeAt := map[location]string{}
	keyHolders := map[KeyDigest]string{}
	names := map[Section]map[string]bool{SectionRoutes: {}, SectionServices: {}, SectionLimits: {}}
	if !legacy {
		names[SectionTenants] = map[string]bool{}
	}
	for i := range d.Items {
		item := &d.Items[i]
		if names[item.Section] == nil {
			return &Invalid{Item: "entry " + item.Name, Field: "section", Value: string(item.Section), Want: "use routes, services, tenants or limits"}
		}
		if names[item.Section][item.Name] {
			return &Invalid{Item: string(item.Section), Field: "name", Value: item.Name, Want: "name each entry once"}
		}
		names[item.Section][item.Name] = true
		if item.Service != nil && !slices.Contains([]string{"", NotifyByCall, NotifyByHeartbeat}, item.Service.NotifyBy) {
			return &Invalid{Item: "service " + item.Name, Field: "grants", Value: item.Service.NotifyBy, Want: "use call or heartbeat"}
		}
		if item.Tenant != nil {
			if invalid := item.Tenant.validate(keyHolders); invalid != nil {
				return invalid
			}
		}
		if item.Route == nil {
			continue
		}
		if invalid := item.Route.validate(services, legacy); invalid != nil {
			return invalid
		}
		at := location{item.Route.Host, item.Route.PathPrefix}
		if other, used := routeAt[at]; used {
			return item.Route.invalid("path_prefix", item.Route.PathPrefix, "route "+other+" has this host and prefix already")
		}
		routeAt[at] = item.Route.Name
	}
	return nil
}

// validate returns the first error of the tenant, or nil. It adds the tenant's keys to holders, which maps each key
// to the tenant that has it. The error names the place of a key, never the key.
func (t *Tenant) validate(holders map[KeyDigest]string) *Invalid {
	invalid := func(field string, value any, want string) *Invalid {
		return &Invalid{Item: "tenant " + t.Name, Field: field, Value: fmt.Sprint(value), Want: want}
	}
	switch {
	case t.Name == "":
		return invalid("name", t.Name, "give each tenant a name")
	case t.Rate < 0:
		return invalid("rate", t.Rate, "use 0 or more")
	case t.Burst < 0:
		return invalid("burst", t.Burst, "use 0 or more")
	}
	for i, key := range t.Keys {
		place := fmt.Sprintf("key %d of %d", i+1, len(t.Keys))
		if key == DigestKey(nil) {
			return invalid("keys", place, "it is empty: use a key of at least one character")
		}
		if other, taken := holders[key]; taken && other != t.Name {
			return invalid("keys", place, "tenant "+other+" has the same key: give each tenant keys of its own")
		}
		holders[key] = t.Name
	}
	return nil
}

func (r *Route) invalid(field string, value any, want string) *Invalid {
	return &Invalid{Item: "route " + r.Name, Field: field, Value: fmt.Sprint(value), Want: want}
}

// isKnown reports whether a route may have the kind.
func (k Kind) isKnown(legacy bool) bool {
	switch k {
	case KindSafe, KindUnsafe, KindDownload:
		return true
	case KindUpload:
		return !legacy
	}
	return false
}

func (r *Route) validate(services map[string]bool, legacy bool) *Invalid {
	switch {
	case r.Name == "":
		return r.invalid("name", r.Name, "give each route a name")
	case r.Host == "":
		return r.invalid("host", r.Host, "name the host")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return r.invalid("path_prefix", r.PathPrefix, "begin and end it with a slash")
	case !r.Kind.isKnown(legacy):
		return r.invalid("kind", r.Kind, "use safe, unsafe, upload or download")
	case r.Timeout <= 0:
		return r.invalid("timeout", r.Timeout, "use more than 0")
	case r.TargetLatency >= r.Timeout+maxTargetOverTimeout:
		return r.invalid("target_latency", r.TargetLatency, "use less than a minute over the timeout")
	case r.MaxAttempts <= 0:
		return r.invalid("max_attempts", r.MaxAttempts, "use 1 or more")
	}
	return r.validateSplit(services)
}

func (r *Route) validateSplit(services map[string]bool) *Invalid {
	total := 0.0
	for _, share := range r.Split {
		if !services[share.Service] {
			return r.invalid("service", share.Service, "name a service of the same document")
		}
		if share.Weight < 0 {
			return r.invalid("weight", share.Weight, "use 0 or more")
		}
		total += share.Weight
	}
	if total <= 0 {
		return r.invalid("weight", total, "let the weights add up to more than 0")
	}
	return nil
}
