package catalog

import (
	"fmt"
	"maps"
)

// ServiceState is the state of a service.
type ServiceState uint8

// States of a service.
const (
	ServiceActive ServiceState = iota
	// ServiceRetiring admits no new requests; its shards are being released.
	ServiceRetiring
)

// String returns the state's name for operators.
func (s ServiceState) String() string {
	if s == ServiceRetiring {
		return "retiring"
	}
	return "active"
}

// Service is a service created from a template or defined by a route table.
type Service struct {
	Name     string
	Template string
	Values   map[string]string
	Spec     Spec
	State    ServiceState
	// Revision of the last change of any field above.
	Revision uint64
	// Created is the revision at which the service was created.
	Created uint64
}

// FailureCode classifies a rejected change for programs.
type FailureCode string

// Codes of rejected changes.
const (
	FailureInvalid   FailureCode = "invalid"
	FailureNotFound  FailureCode = "not_found"
	FailureConflict  FailureCode = "conflict"
	FailureInUse     FailureCode = "in_use"
	FailureDuplicate FailureCode = "already_exists"
	// FailureReadOnly is for services that a route table defines.
	FailureReadOnly FailureCode = "read_only"
)

// Failure describes a rejected change. It is part of the replicated result, so that a
// resent command gets the same answer.
type Failure struct {
	Code    FailureCode
	Message string
	// Revision in force, for FailureConflict and FailureDuplicate.
	Revision uint64
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }

func failure(code FailureCode, format string, arguments ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Catalog holds all templates and services of a deployment.
//
// Invariant: the Spec of every service with a template is what the template resolves to
// with the service's Values, and no two such services match the same host and path prefix.
type Catalog struct {
	Templates map[string]*Template
	Services  map[string]*Service
	// byMatch maps a match to the service that uses it. It is rebuilt by Reindex.
	byMatch map[Match]string
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		Templates: map[string]*Template{},
		Services:  map[string]*Service{},
		byMatch:   map[Match]string{},
	}
}

// Reindex rebuilds the derived fields after decoding.
func (c *Catalog) Reindex() {
	if c.Templates == nil {
		c.Templates = map[string]*Template{}
	}
	if c.Services == nil {
		c.Services = map[string]*Service{}
	}
	c.byMatch = make(map[Match]string, len(c.Services))
	for name, service := range c.Services {
		if service.Spec.Match != (Match{}) {
			c.byMatch[service.Spec.Match] = name
		}
	}
}

// put stores a service and updates the index.
func (c *Catalog) put(service *Service) {
	if old, exists := c.Services[service.Name]; exists && c.byMatch[old.Spec.Match] == service.Name {
		delete(c.byMatch, old.Spec.Match)
	}
	c.Services[service.Name] = service
	if service.Spec.Match != (Match{}) {
		c.byMatch[service.Spec.Match] = service.Name
	}
}

// AnyRevision disables the comparison with the revision that the operator saw.
const AnyRevision = ^uint64(0)

// checkRevision returns a failure unless the object's revision is the expected one. An expected
// revision of 0 requires that the object does not exist; AnyRevision always passes.
func checkRevision(kind, name string, exists bool, current, expected uint64) *Failure {
	if expected == AnyRevision {
		return nil
	}
	if !exists {
		if expected == 0 {
			return nil
		}
		return failure(FailureNotFound, "%s %s does not exist, but revision %d of it was expected", kind, name, expected)
	}
	if expected == 0 {
		conflict := failure(FailureDuplicate, "%s %s exists already, at revision %d", kind, name, current)
		conflict.Revision = current
		return conflict
	}
	if expected != current {
		conflict := failure(FailureConflict, "%s %s was changed by somebody else: it is at revision %d, not %d; look at it and send your change again with --revision %d", kind, name, current, expected, current)
		conflict.Revision = current
		return conflict
	}
	return nil
}

// ApplyTemplate creates or replaces a template, updates every service created from it,
// and returns their names. If any of them would become invalid, nothing changes.
func (c *Catalog) ApplyTemplate(template Template, expected, revision uint64) ([]string, *Failure) {
	current, exists := c.Templates[template.Name]
	var currentRevision uint64
	if exists {
		currentRevision = current.Revision
	}
	if conflict := checkRevision("template", template.Name, exists, currentRevision, expected); conflict != nil {
		return nil, conflict
	}
	if err := template.Validate(); err != nil {
		return nil, failure(FailureInvalid, "%v", err)
	}
	changed := map[string]*Service{}
	matches := map[Match]string{}
	for _, name := range sortedKeys(c.Services) {
		service := c.Services[name]
		if service.Template != template.Name {
			continue
		}
		next, refusal := c.resolve(&template, service, service.Values, revision)
		if refusal != nil {
			return nil, failure(refusal.Code, "service %s would become invalid: %s", name, refusal.Message)
		}
		if other, taken := matches[next.Spec.Match]; taken {
			return nil, matchTakenFailure(next, other)
		}
		matches[next.Spec.Match] = name
		changed[name] = next
	}
	for _, name := range sortedKeys(changed) {
		if other, taken := c.byMatch[changed[name].Spec.Match]; taken && changed[other] == nil {
			return nil, matchTakenFailure(changed[name], other)
		}
	}
	template.Revision = revision
	c.Templates[template.Name] = &template
	for _, service := range changed {
		c.put(service)
	}
	return sortedKeys(changed), nil
}

func matchTakenFailure(service *Service, other string) *Failure {
	match := service.Spec.Match
	return failure(FailureDuplicate, "spec.match of service %s (host %q, path_prefix %q) is already used by service %s", service.Name, match.Host, match.PathPrefix, other)
}

// checkMatch returns a failure if another service uses the service's match.
func (c *Catalog) checkMatch(service *Service) *Failure {
	if other, taken := c.byMatch[service.Spec.Match]; taken && other != service.Name {
		return matchTakenFailure(service, other)
	}
	return nil
}

// resolve returns a copy of a service with the spec that the template yields for the values. It
// fails if the spec is invalid or would change the number of shards of an existing service.
func (c *Catalog) resolve(template *Template, service *Service, values map[string]string, revision uint64) (*Service, *Failure) {
	spec, err := template.Resolve(service.Name, values)
	if err != nil {
		return nil, failure(FailureInvalid, "%v", err)
	}
	if service.Revision > 0 && spec.Shards != service.Spec.Shards {
		return nil, failure(FailureInvalid, "spec.shards of service %s cannot change from %d to %d: the number of shards is fixed at creation; create a new service and retire this one", service.Name, service.Spec.Shards, spec.Shards)
	}
	next := *service
	next.Spec = spec
	next.Values = maps.Clone(values)
	next.Revision = revision
	return &next, nil
}

// RetireTemplate removes a template that no service uses.
func (c *Catalog) RetireTemplate(name string, expected uint64) *Failure {
	template, exists := c.Templates[name]
	if !exists {
		return failure(FailureNotFound, "template %s does not exist", name)
	}
	if conflict := checkRevision("template", name, true, template.Revision, expected); conflict != nil {
		return conflict
	}
	for _, service := range sortedKeys(c.Services) {
		if c.Services[service].Template == name {
			return failure(FailureInUse, "template %s is still used by service %s: retire the service first", name, service)
		}
	}
	delete(c.Templates, name)
	return nil
}

// CreateService creates a service from a template.
func (c *Catalog) CreateService(name, templateName string, values map[string]string, revision uint64) *Failure {
	if err := CheckName("service", name); err != nil {
		return failure(FailureInvalid, "%v", err)
	}
	if existing, exists := c.Services[name]; exists {
		return checkRevision("service", name, true, existing.Revision, 0)
	}
	template, exists := c.Templates[templateName]
	if !exists {
		return failure(FailureNotFound, "template %s does not exist: apply it first with 'limehold template apply FILE'", templateName)
	}
	service := &Service{Name: name, Template: templateName, Created: revision}
	next, refusal := c.resolve(template, service, values, revision)
	if refusal == nil {
		refusal = c.checkMatch(next)
	}
	if refusal != nil {
		return refusal
	}
	c.put(next)
	return nil
}

// UpdateService replaces the given values and keeps the others.
func (c *Catalog) UpdateService(name string, values map[string]string, expected, revision uint64) *Failure {
	service, exists := c.Services[name]
	if !exists {
		return failure(FailureNotFound, "service %s does not exist", name)
	}
	if conflict := checkRevision("service", name, true, service.Revision, expected); conflict != nil {
		return conflict
	}
	if service.State == ServiceRetiring {
		return failure(FailureInUse, "service %s is being retired and cannot change", name)
	}
	template, exists := c.Templates[service.Template]
	if !exists {
		return RoutedServiceFailure(name)
	}
	merged := maps.Clone(service.Values)
	if merged == nil {
		merged = map[string]string{}
	}
	maps.Copy(merged, values)
	next, refusal := c.resolve(template, service, merged, revision)
	if refusal == nil {
		refusal = c.checkMatch(next)
	}
	if refusal != nil {
		return refusal
	}
	c.put(next)
	return nil
}

// RetireService stops admission to a service. RemoveService removes it later, once its shards are
// released.
func (c *Catalog) RetireService(name string, expected, revision uint64) *Failure {
	service, exists := c.Services[name]
	if !exists {
		return failure(FailureNotFound, "service %s does not exist", name)
	}
	if conflict := checkRevision("service", name, true, service.Revision, expected); conflict != nil {
		return conflict
	}
	next := *service
	next.State = ServiceRetiring
	next.Revision = revision
	c.put(&next)
	return nil
}

// RemoveService removes a service if it is retiring, and does nothing otherwise.
func (c *Catalog) RemoveService(name string) {
	if service, exists := c.Services[name]; exists && service.State == ServiceRetiring {
		delete(c.byMatch, service.Spec.Match)
		delete(c.Services, name)
	}
}
