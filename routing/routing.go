// Package routing implements the versioned route table: which requests go to which
// service, and under which limits. A table changes only as a whole, by
// compare-and-set on its version; a change that is sent again is recognized and
// acknowledged again. The package is deterministic and performs no I/O.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request may run and how large its response is.
type Kind string

// Kinds of requests.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindDownload requests may run more than once, and have large responses.
	KindDownload Kind = "download"
	// KindUpload requests run at most once, and have large bodies.
	KindUpload Kind = "upload"
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == KindSafe || k == KindDownload }

// Share is the part of a weighted split that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is compared in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time until a request is answered or rejected.
	Timeout time.Duration
	// TargetLatency is the time within which a request should be answered; 0 means none.
	TargetLatency time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	// MaxAttempts is the largest number of instances to which one request may be sent.
	MaxAttempts int
	// Split has a single share if the route leads to one service.
	Split []Share
	// Public routes serve requests without an API key.
	Public bool
	// Regions lists the regions in which requests may be served; empty means all.
	Regions []string
}

// Service is a set of instances that routes may name.
type Service struct {
	Name string
	// HealthPath is the path that responds with status 200 while an instance is healthy.
	HealthPath string
	// Connections is how many connections one instance accepts from all callers together.
	Connections int
	// Keyed services divide the keys 0 to KeySpace-1 among their instances.
	Keyed bool
	// ColdStart is the duration of an instance's cold start, and ColdStartRate the number of
	// requests a second that it accepts meanwhile; 0 means no limit.
	ColdStart     time.Duration
	ColdStartRate int
	// KeyWarmUp is how long requests for a key are slow after an instance has acquired the key
	// without the previous owner's token.
	KeyWarmUp time.Duration
	// NotifyBy is how instances are notified of their keys: NotifyByCall, NotifyByHeartbeat, or
	// empty if the service does not specify it.
	NotifyBy string
}

// Values of Service.NotifyBy.
const (
	NotifyByCall      = "call"
	NotifyByHeartbeat = "heartbeat"
)

// Limits bounds the size of a caller's request, and how long it may take or be idle.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeySpace is the number of keys of a keyed service.
const KeySpace = 1 << 16

// Section names a kind of item.
type Section string

// Sections of a document.
const (
	SectionRoutes   Section = "routes"
	SectionServices Section = "services"
	SectionLimits   Section = "limits"
	SectionTenants  Section = "tenants"
)

// Item is one entry of a document, in source form and parsed.
type Item struct {
	Section Section
	Name    string
	// Source is the entry as the operator wrote it. It is returned unchanged.
	Source []byte
	// Exactly one of these is set, depending on Section.
	Route   *Route
	Service *Service
	Limits  *Limits
	Tenant  *Tenant
}

// Document is a complete route table.
type Document struct {
	Version uint64
	Items   []Item
}

// Route returns the route for a host and path, or nil: among the routes of the host,
// the one with the longest path prefix of the path.
func (d *Document) Route(host, path string) *Route {
	host = CanonicalHost(host)
	var found *Route
	for i := range d.Items {
		route := d.Items[i].Route
		if route == nil || route.Host != host || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if found == nil || len(route.PathPrefix) > len(found.PathPrefix) {
			found = route
		}
	}
	return found
}

// Service returns the service with the name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Items {
		if service := d.Items[i].Service; service != nil && service.Name == name {
			return service
		}
	}
	return nil
}

// Limits returns the limits, or nil if the document has none.
func (d *Document) Limits() *Limits {
	for i := range d.Items {
		if limits := d.Items[i].Limits; limits != nil {
			return limits
		}
	}
	return nil
}

// CanonicalHost removes the port and converts the host to lower case.
func CanonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Index finds the routes of a document by host.
type Index struct {
	document *Document
	byHost   map[string][]*Route
}

// NewIndex indexes a document, which must not change afterwards.
func NewIndex(document *Document) *Index {
	index := &Index{document: document, byHost: map[string][]*Route{}}
	for i := range document.Items {
		if route := document.Items[i].Route; route != nil {
			index.byHost[route.Host] = append(index.byHost[route.Host], route)
		}
	}
	for _, routes := range index.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return index
}

// Document returns the indexed document.
func (i *Index) Document() *Document { return i.document }

// Route returns the same route as Document.Route, but searches only the routes of the host.
func (i *Index) Route(host, path string) *Route {
	for _, route := range i.byHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
