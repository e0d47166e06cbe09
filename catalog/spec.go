// Package catalog holds templates and the services created from them. It is
// pure: results depend only on the arguments and the catalog's state.
package catalog

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time span that is encoded as text such as "1500ms".
type Duration time.Duration

// MarshalText formats the span as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText accepts what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time span; write for example 250ms, 2s or 5m", text)
	}
	*d = Duration(parsed)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// KeySource is the part of a request that holds its key.
type KeySource string

// Key sources.
const (
	KeyFromHeader KeySource = "header"
	KeyFromPath   KeySource = "path"
	KeyFromQuery  KeySource = "query"
)

// KeyRule determines the key of a request.
type KeyRule struct {
	// Source is header, path or query.
	Source KeySource `yaml:"source" json:"source"`
	// Name of the header or query parameter.
	Name string `yaml:"name" json:"name,omitempty"`
	// Segment is the index of the path segment after the path prefix, from 0.
	Segment int `yaml:"segment" json:"segment,omitempty"`
	// Ranges divides integer keys from 0 to 65535 into contiguous ranges of equal
	// length, one per shard. Otherwise keys are strings and are hashed. Default false.
	Ranges bool `yaml:"ranges" json:"ranges,omitempty"`
}

// Match selects a service by host, by path prefix, or by both.
type Match struct {
	// Host is compared without port and case-insensitively. Empty means any.
	Host string `yaml:"host" json:"host,omitempty"`
	// PathPrefix begins with "/" and matches whole segments. Empty means any.
	PathPrefix string `yaml:"path_prefix" json:"path_prefix,omitempty"`
}

// Route holds the settings for some requests of a service. The first route that
// matches is used, or the last one if none matches.
type Route struct {
	// Methods that the route matches. Empty means all.
	Methods []string `yaml:"methods" json:"methods,omitempty"`
	// PathPrefix after the service's prefix. Empty means all.
	PathPrefix string `yaml:"path_prefix" json:"path_prefix,omitempty"`
	// Repeatable requests may be retried after an attempt with an unknown outcome.
	// Default: true for GET, HEAD, OPTIONS and TRACE, otherwise false.
	Repeatable *bool `yaml:"repeatable" json:"repeatable,omitempty"`
	// Timeout for the whole request. Default 5s.
	Timeout Duration `yaml:"timeout" json:"timeout"`
	// Hold is how long a request waits for an owner during a transfer before it
	// is rejected as not run. Default 1500ms, or the timeout if that is shorter.
	Hold Duration `yaml:"hold" json:"hold"`
	// MaxAttempts includes the first attempt. Default 3.
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
	// MaxRequestBytes bounds the request body. Default 1 MiB.
	MaxRequestBytes int64 `yaml:"max_request_bytes" json:"max_request_bytes"`
}

// Weights are the costs and gains of moving a shard, as the operator values them.
type Weights struct {
	// Imbalance is the gain for each unit of load variance removed. Default 1.
	Imbalance float64 `yaml:"imbalance" json:"imbalance"`
	// Churn is the cost of moving one shard. Default 1.
	Churn float64 `yaml:"churn" json:"churn"`
	// Unavailable is the cost of the pause during a move, for each unit of the
	// shard's load. Default 1.
	Unavailable float64 `yaml:"unavailable" json:"unavailable"`
}

// Locality determines which instances of a service without keys are preferred.
type Locality string

// Localities.
const (
	LocalityZone Locality = "zone"
	LocalityAny  Locality = "any"
)

// Spec is the configuration of a service, with parameters substituted.
type Spec struct {
	Match Match `yaml:"match" json:"match"`
	// Pool names the back-end instances that serve the service.
	Pool string `yaml:"pool" json:"pool"`
	// Keyed services divide their keys among owners; others may use any instance.
	Keyed bool    `yaml:"keyed" json:"keyed"`
	Key   KeyRule `yaml:"key" json:"key"`
	// Shards is the number of shards, fixed at creation. Default 64 when keyed.
	Shards int     `yaml:"shards" json:"shards"`
	Routes []Route `yaml:"routes" json:"routes"`
	// Locality is zone (instances in the router's own zone first, others when those
	// are full) or any (all instances alike: even load at the cost of longer paths).
	// Requests to keyed services go to the owner in either case. Default zone.
	Locality Locality `yaml:"locality" json:"locality,omitempty"`
	// QueueLength bounds the requests queued for a slot at one router. Default 64.
	QueueLength int `yaml:"queue_length" json:"queue_length"`
	// RetryBudgetPercent bounds retries as a share of requests. Default 5.
	RetryBudgetPercent int `yaml:"retry_budget_percent" json:"retry_budget_percent"`
	// StalenessBound is the staleness of its view at which a router stops admitting requests. Default 5s.
	StalenessBound Duration `yaml:"staleness_bound" json:"staleness_bound"`
	// StallTimeout is the longest pause between two parts of an answer that is being
	// forwarded, on the back end's or the caller's side, before it is aborted. Default 10s.
	StallTimeout Duration `yaml:"stall_timeout" json:"stall_timeout"`
	// MovesPerMinute bounds the planned moves of the service's shards. Default 6.
	MovesPerMinute int     `yaml:"moves_per_minute" json:"moves_per_minute"`
	Weights        Weights `yaml:"weights" json:"weights"`
}

// Defaults of Spec and Route.
const (
	defaultShards          = 64
	defaultQueueLength     = 64
	defaultRetryBudget     = 5
	defaultStaleness       = 5 * time.Second
	defaultMovesPerMinute  = 6
	defaultTimeout         = 5 * time.Second
	defaultHold            = 1500 * time.Millisecond
	defaultMaxAttempts     = 3
	defaultMaxRequestBytes = 1 << 20
	defaultStallTimeout    = 10 * time.Second
	// holdUnset marks a hold time that the template does not set.
	holdUnset = Duration(-1)

	// MaxShards bounds the shards of one service.
	MaxShards = 1 << 16
	// minStaleness leaves time for a leader change, during which a router cannot
	// confirm that its view is current.
	minStaleness    = time.Second
	maxStaleness    = 15 * time.Second
	minStallTimeout = 100 * time.Millisecond
	maxStallTimeout = 10 * time.Minute
	// maxRetryBudget is effectively unlimited: ten retries per request.
	maxRetryBudget = 1000
)

// FieldError names an invalid field, its value and what is valid.
type FieldError struct {
	Field string
	Value string
	Want  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %q: %s", e.Field, e.Value, e.Want)
}

func fieldError(field string, value any, want string) error {
	return &FieldError{Field: field, Value: fmt.Sprint(value), Want: want}
}

// NewSpec returns a spec with the default of every field that has one. A template is
// decoded on top of it, so that an explicit zero stays zero.
func NewSpec() Spec {
	return Spec{
		Locality: LocalityZone, QueueLength: defaultQueueLength, RetryBudgetPercent: defaultRetryBudget,
		StalenessBound: Duration(defaultStaleness), StallTimeout: Duration(defaultStallTimeout), MovesPerMinute: defaultMovesPerMinute,
		Weights: Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
	}
}

// NewRoute returns a route with the default of every field that has one.
func NewRoute() Route {
	return Route{
		Timeout: Duration(defaultTimeout), Hold: holdUnset,
		MaxAttempts: defaultMaxAttempts, MaxRequestBytes: defaultMaxRequestBytes,
	}
}

// UnmarshalYAML decodes a route on top of the defaults.
func (r *Route) UnmarshalYAML(node *yaml.Node) error {
	text, err := yaml.Marshal(node)
	if err != nil {
		return err
	}
	type plain Route
	filled := plain(NewRoute())
	if err := decodeStrictly(text, &filled); err != nil {
		return err
	}
	*r = Route(filled)
	return nil
}

// Complete sets the defaults that depend on other fields.
func (s *Spec) Complete() {
	if s.Keyed && s.Shards == 0 {
		s.Shards = defaultShards
	}
	if len(s.Routes) == 0 {
		s.Routes = []Route{NewRoute()}
	}
	for i := range s.Routes {
		if s.Routes[i].Hold == holdUnset {
			s.Routes[i].Hold = min(Duration(defaultHold), s.Routes[i].Timeout)
		}
	}
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)
)

// ValidName reports whether name is valid for a template, service, pool or node.
func ValidName(name string) bool { return namePattern.MatchString(name) }

const nameRule = "use 1 to 63 lower-case letters, digits and hyphens, beginning and ending with a letter or digit"

// CheckName returns a FieldError if the name is not valid.
func CheckName(field, name string) error {
	if !ValidName(name) {
		return fieldError(field, name, nameRule)
	}
	return nil
}

// Validate checks a spec after Complete.
func (s *Spec) Validate() error {
	checks := []func() error{s.validateMatch, s.validateKey, s.validateNumbers, s.validateRoutes}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Spec) validateMatch() error {
	if s.Locality != LocalityZone && s.Locality != LocalityAny {
		return fieldError("spec.locality", string(s.Locality), "use zone or any")
	}
	if s.Match.Host == "" && s.Match.PathPrefix == "" {
		return fieldError("spec.match", "", "give host, path_prefix or both")
	}
	if s.Match.Host != "" && !hostPattern.MatchString(s.Match.Host) {
		return fieldError("spec.match.host", s.Match.Host, "use a host name in lower case without a port")
	}
	if s.Match.PathPrefix != "" && !pathPattern.MatchString(s.Match.PathPrefix) {
		return fieldError("spec.match.path_prefix", s.Match.PathPrefix, "begin with / and end without one, for example /kopavogur/proofs")
	}
	return CheckName("spec.pool", s.Pool)
}

func (s *Spec) validateKey() error {
	if !s.Keyed {
		if s.Shards != 0 {
			return fieldError("spec.shards", s.Shards, "leave it out, or set keyed: true")
		}
		return nil
	}
	if s.Shards < 1 || s.Shards > MaxShards {
		return fieldError("spec.shards", s.Shards, fmt.Sprintf("use 1 to %d", MaxShards))
	}
	switch s.Key.Source {
	case KeyFromHeader, KeyFromQuery:
		if s.Key.Name == "" {
			return fieldError("spec.key.name", "", "name the header or query parameter that carries the key")
		}
	case KeyFromPath:
		if s.Key.Segment < 0 {
			return fieldError("spec.key.segment", s.Key.Segment, "use 0 for the first segment behind the path prefix")
		}
	default:
		return fieldError("spec.key.source", string(s.Key.Source), "use header, path or query")
	}
	return nil
}

type boundedField struct {
	field     string
	value     int64
	low, high int64
}

func (s *Spec) validateNumbers() error {
	for _, number := range []boundedField{
		{"spec.queue_length", int64(s.QueueLength), 0, 1_000_000},
		{"spec.retry_budget_percent", int64(s.RetryBudgetPercent), 0, maxRetryBudget},
		{"spec.moves_per_minute", int64(s.MovesPerMinute), 0, 100_000},
	} {
		if err := number.check(); err != nil {
			return err
		}
	}
	if bound := s.StalenessBound.Std(); bound < minStaleness || bound > maxStaleness {
		return fieldError("spec.staleness_bound", bound, fmt.Sprintf("use %v to %v", minStaleness, maxStaleness))
	}
	if stall := s.StallTimeout.Std(); stall < minStallTimeout || stall > maxStallTimeout {
		return fieldError("spec.stall_timeout", stall, fmt.Sprintf("use %v to %v", minStallTimeout, maxStallTimeout))
	}
	for _, weight := range []struct {
		field string
		value float64
	}{
		{"spec.weights.imbalance", s.Weights.Imbalance},
		{"spec.weights.churn", s.Weights.Churn},
		{"spec.weights.unavailable", s.Weights.Unavailable},
	} {
		if !(weight.value >= 0 && weight.value <= 1000) {
			return fieldError(weight.field, weight.value, "use 0 to 1000")
		}
	}
	return nil
}

func (b boundedField) check() error {
	if b.value < b.low || b.value > b.high {
		return fieldError(b.field, b.value, fmt.Sprintf("use %d to %d", b.low, b.high))
	}
	return nil
}

func (s *Spec) validateRoutes() error {
	for i, route := range s.Routes {
		prefix := fmt.Sprintf("spec.routes[%d]", i)
		if err := route.validate(prefix); err != nil {
			return err
		}
	}
	return nil
}

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (r Route) validate(prefix string) error {
	for _, method := range r.Methods {
		if !slices.Contains(knownMethods, method) {
			return fieldError(prefix+".methods", method, "use "+strings.Join(knownMethods, ", "))
		}
	}
	if r.PathPrefix != "" && !pathPattern.MatchString(r.PathPrefix) {
		return fieldError(prefix+".path_prefix", r.PathPrefix, "begin with / and end without one")
	}
	if r.Timeout <= 0 || r.Timeout.Std() > time.Hour {
		return fieldError(prefix+".timeout", r.Timeout.Std(), "use more than 0s and at most 1h")
	}
	if r.Hold < 0 || r.Hold > r.Timeout {
		return fieldError(prefix+".hold", r.Hold.Std(), "use 0s up to the route's timeout")
	}
	for _, number := range []boundedField{
		{prefix + ".max_attempts", int64(r.MaxAttempts), 1, 10},
		{prefix + ".max_request_bytes", r.MaxRequestBytes, 0, 1 << 40},
	} {
		if err := number.check(); err != nil {
			return err
		}
	}
	return nil
}

// RouteFor returns the first route that matches the method and the path after the
// service's prefix, and whether requests on it are repeatable. A request that no
// route matches gets the last route's limits and is repeatable only if its method
// is safe.
func (s *Spec) RouteFor(method, rest string) (route *Route, repeatable bool) {
	for i := range s.Routes {
		candidate := &s.Routes[i]
		if candidate.matches(method, rest) {
			if candidate.Repeatable != nil {
				return candidate, *candidate.Repeatable
			}
			return candidate, safeMethod(method)
		}
	}
	return &s.Routes[len(s.Routes)-1], safeMethod(method)
}

func (r *Route) matches(method, rest string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	return r.PathPrefix == "" || HasPathPrefix(rest, r.PathPrefix)
}

// HasPathPrefix reports whether prefix covers whole segments at the start of path.
func HasPathPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// safeMethod reports whether HTTP defines the method as safe (RFC 9110, 9.2.1).
// PUT and DELETE are idempotent in HTTP's terms, but running one of them again after
// another caller's request changes the result: they must be declared repeatable.
func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
