// Package routing is the versioned route table: which requests go to which
// service, and under which limits. A table changes only as a whole, by
// compare-and-set on its version; a change that is sent again is recognized and
// acknowledged again. The package is pure.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind string

// Kinds of requests.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindDownload requests are safe, and have large answers.
	KindDownload Kind = "download"
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != KindUnsafe }

// Share is one part of a weighted split.
type Share struct {
	Service string
	Weight  float64
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is compared in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest that a request is held.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth its full value.
	TargetLatency time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	// MaxAttempts is the largest number of instances that one request may go to.
	MaxAttempts int
	// Split has one share for a route to one service.
	Split []Share
}

// Service is a set of instances that routes may name.
type Service struct {
	Name string
	// HealthPath answers 200 while an instance is well.
	HealthPath string
	// Connections that one instance accepts from all callers together.
	Connections int
	// Keyed services divide the numbers 0 to KeySpace-1 among their instances.
	Keyed bool
	// ColdFor is how long an instance is cold after its start, ColdPerSecond how many
	// requests a second it bears then; zero: it bears all.
	ColdFor       time.Duration
	ColdPerSecond int
	// WarmUp is how long keys are slow that come without their last owner's token.
	WarmUp time.Duration
	// GrantBy is how instances are told their keys: GrantByCall, GrantByHeartbeat, or
	// empty where the service does not say.
	GrantBy string
}

// Values of Service.GrantBy.
const (
	GrantByCall      = "call"
	GrantByHeartbeat = "heartbeat"
)

// Limits bounds what a caller may send, and how long it may take or be idle.
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
)

// Item is one entry of a document, as it was sent and as it was understood.
type Item struct {
	Section Section
	Name    string
	// Source is the entry as the operator wrote it; it is given back unchanged.
	Source []byte
	// Exactly one of these is set, as the section says.
	Route   *Route
	Service *Service
	Limits  *Limits
}

// Document is a whole route table.
type Document struct {
	Version uint64
	Items   []Item
}

// Route returns the route that a host and path select, or nil: among the routes
// of the host, the one with the longest prefix that begins the path.
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

// Limits returns the limits, or nil when the document has none.
func (d *Document) Limits() *Limits {
	for i := range d.Items {
		if limits := d.Items[i].Limits; limits != nil {
			return limits
		}
	}
	return nil
}

// CanonicalHost removes a port and writes the host in lower case.
func CanonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Index finds routes quickly; it is built once for each document.
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

// Document returns what was indexed.
func (i *Index) Document() *Document { return i.document }

// Route is Document.Route without a search through all items.
func (i *Index) Route(host, path string) *Route {
	for _, route := range i.byHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
