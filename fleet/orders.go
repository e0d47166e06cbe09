package fleet

import (
	"fmt"
	"strings"
	"time"

	"limehold/catalog"
	"limehold/quarantine"
)

// maxOrderRecords bounds the resources whose newest order is kept.
const maxOrderRecords = 32768

// Order makes a command an operator's order on a resource. The orders on a resource form a sequence in which each is
// based on the one before: an order takes effect only if no other one has taken effect since its sender looked. An
// order that changes nothing is a part of the sequence, too.
type Order struct {
	// Resource is the kind and the name of what the order is about, for example "zone/b".
	Resource string
	// Action is what is to be done, for example "drain".
	Action string
	// Basis is the revision of the state that the sender has seen.
	Basis uint64
	// Sender tells operators where the order came from.
	Sender string
	// Decision is set for a decision of control, which takes effect only if there was no order since, but is none itself.
	Decision bool
}

// OrderRecord is the newest order on a resource.
type OrderRecord struct {
	Revision uint64
	// At is when the order was given, in Unix milliseconds of the leader's wall clock.
	At     int64
	Action string
	Sender string
}

// OrderTable holds the newest orders on resources.
type OrderTable struct {
	Newest map[string]OrderRecord
	// Floor is the highest revision of the records that were dropped to make room. It stands for the newest
	// order on a resource without a record.
	Floor uint64
}

func newOrderTable() OrderTable { return OrderTable{Newest: map[string]OrderRecord{}} }

func (t *OrderTable) isEmpty() bool { return len(t.Newest) == 0 && t.Floor == 0 }

// Kinds of resources, which precede their names.
const (
	zoneKind     = "zone/"
	nodeKind     = "node/"
	templateKind = "template/"
	serviceKind  = "service/"
	requestKind  = "request/"
)

// ZoneResource returns the resource of orders on a zone.
func ZoneResource(name string) string { return zoneKind + name }

// NodeResource returns the resource of orders on a node.
func NodeResource(name string) string { return nodeKind + name }

// TemplateResource returns the resource of orders on a template.
func TemplateResource(name string) string { return templateKind + name }

// ServiceResource returns the resource of orders on a service.
func ServiceResource(name string) string { return serviceKind + name }

// RequestResource returns the resource of orders on a request that instances crashed under.
func RequestResource(digest quarantine.Digest) string { return requestKind + digest.Hex() }

// OrderRevision returns the revision of the newest order on a resource, 0 if there was none. The next one has to be
// based on that revision or on a later one.
func (s *State) OrderRevision(resource string) uint64 {
	record, known := s.Orders.Newest[resource]
	if !known {
		record.Revision = s.Orders.Floor
	}
	return max(record.Revision, s.unsequencedRevision(resource))
}

// unsequencedRevision returns the revision at which a resource last changed other than by an Order: by a command of an
// earlier version, or without an operator. An order that is based on an earlier state is rejected as well.
func (s *State) unsequencedRevision(resource string) uint64 {
	kind, name, _ := strings.Cut(resource, "/")
	switch kind + "/" {
	case zoneKind:
		return s.Zones[name].Revision
	case nodeKind:
		return s.DrainOrders[name].Revision
	case templateKind:
		if template := s.Catalog.Templates[name]; template != nil {
			return template.Revision
		}
	case serviceKind:
		if service := s.Catalog.Services[name]; service != nil {
			return service.Revision
		}
	case requestKind:
		for _, record := range s.Quarantine.Records {
			if record.Digest.Hex() == name {
				return record.Changed
			}
		}
	}
	return 0
}

// Sequence returns the command that carries out an order based on the state that its sender has seen. Without a basis,
// nothing is to be carried out: the sender has to be told the revision of this state, which must reflect all orders
// that were acknowledged before the order was received.
func (s *State) Sequence(command Command, order Order, basis *uint64) (sequenced Command, hasBasis bool) {
	if basis == nil {
		return Command{}, false
	}
	order.Basis = *basis
	sequenced = command.WithExpected(s.expectedByEarlierVersions(order.Resource, order.Basis))
	sequenced.Order = &order
	return sequenced, true
}

// WithoutNewerOrder returns a command of control that takes effect only if there is no order on a resource after this
// state, from which it was decided.
func (s *State) WithoutNewerOrder(command Command, resource string) Command {
	command.Order = &Order{Resource: resource, Action: "decision", Basis: s.Revision, Sender: "control", Decision: true}
	return command
}

// checkBasis returns a failure if there was another order on a resource since the state on which an order is based.
func (s *State) checkBasis(order *Order) *catalog.Failure {
	if order.Basis >= s.Revision {
		return &catalog.Failure{Code: catalog.FailureInvalid, Revision: s.Revision, Message: fmt.Sprintf(
			"%s of %s is based on revision %d, which does not exist yet: name the one that you have seen, %d at most", order.Action, order.Resource, order.Basis, s.Revision-1)}
	}
	newest := s.OrderRevision(order.Resource)
	if newest <= order.Basis || order.requiresAbsence() {
		return nil
	}
	message := fmt.Sprintf("%s of %s is based on revision %d, but there was another order at revision %d", order.Action, order.Resource, order.Basis, newest)
	if record, known := s.Orders.Newest[order.Resource]; known && record.Revision == newest {
		message += fmt.Sprintf(": %s by %s at %s", record.Action, record.Sender, time.UnixMilli(record.At).UTC().Format(time.RFC3339))
	}
	return &catalog.Failure{Code: catalog.FailureConflict, Revision: newest, Message: message + "; look at it, and give the order again if it still applies"}
}

// requiresAbsence reports whether the order applies only to an object of the catalog that does not exist, whatever orders
// there were on an earlier one. The catalog itself checks that.
func (o *Order) requiresAbsence() bool {
	return o.Basis == 0 && (strings.HasPrefix(o.Resource, templateKind) || strings.HasPrefix(o.Resource, serviceKind))
}

// expectedRevision returns the revision at which the catalog has to hold an object: any if a command has an Order, whose
// basis has been checked, except that a basis of 0 requires that the object does not exist.
func (a *applier) expectedRevision(command uint64) uint64 {
	switch {
	case a.order == nil:
		return command
	case a.order.Basis == 0:
		return 0
	}
	return catalog.AnyRevision
}

// expectedByEarlierVersions returns the revision that members of EntryFormat 0 are to compare for an order, as they do not
// know its basis: they require that the object has changed at exactly this revision.
func (s *State) expectedByEarlierVersions(resource string, basis uint64) uint64 {
	revision := s.unsequencedRevision(resource)
	inCatalog := strings.HasPrefix(resource, templateKind) || strings.HasPrefix(resource, serviceKind)
	if inCatalog && revision == 0 && basis > 0 {
		return catalog.AnyRevision
	}
	return min(revision, basis)
}

// orderCause adds to the cause of a decision which order it follows.
func (a *applier) orderCause(cause string) string {
	if a.order == nil || a.order.Decision {
		return cause
	}
	return fmt.Sprintf("%s, from %s, based on revision %d", cause, a.order.Sender, a.order.Basis)
}

// recordOrder makes an order the newest one on its resource.
func (a *applier) recordOrder(order *Order) {
	if order.Decision {
		return
	}
	orders := &a.state.Orders
	orders.Newest[order.Resource] = OrderRecord{Revision: a.state.Revision, At: a.at, Action: order.Action, Sender: order.Sender}
	if len(orders.Newest) > maxOrderRecords {
		orders.dropOldest()
	}
}

func (t *OrderTable) dropOldest() {
	var oldest string
	for resource, record := range t.Newest {
		if oldest == "" || record.Revision < t.Newest[oldest].Revision {
			oldest = resource
		}
	}
	t.Floor = t.Newest[oldest].Revision
	delete(t.Newest, oldest)
}
