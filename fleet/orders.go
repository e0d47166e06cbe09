package fleet

import (
	"fmt"
	"strings"
	"time"

	"limehold/catalog"
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
	// Basis is the revision of the newest order on the resource that the sender has seen, 0 if there was none.
	Basis uint64
	// Sender tells operators where the order came from.
	Sender string
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

// zoneKind precedes the name of a zone in the resource of orders on it.
const zoneKind = "zone/"

// ZoneResource returns the resource of orders on a zone.
func ZoneResource(name string) string { return zoneKind + name }

// OrderRevision returns the revision of the newest order on a resource, on which the next one has to be based. It is 0
// if there was none.
func (s *State) OrderRevision(resource string) uint64 {
	record, known := s.Orders.Newest[resource]
	if !known {
		record.Revision = s.Orders.Floor
	}
	return max(record.Revision, s.unsequencedRevision(resource))
}

// unsequencedRevision returns the revision at which a resource last changed by a command without an Order.
func (s *State) unsequencedRevision(resource string) uint64 {
	if name, isZone := strings.CutPrefix(resource, zoneKind); isZone {
		return s.Zones[name].Revision
	}
	return 0
}

// checkBasis returns a failure if an order is based on an earlier order than the newest one on its resource.
func (s *State) checkBasis(order *Order) *catalog.Failure {
	newest := s.OrderRevision(order.Resource)
	if newest == order.Basis {
		return nil
	}
	message := fmt.Sprintf("%s of %s is based on revision %d, but there was another order at revision %d", order.Action, order.Resource, order.Basis, newest)
	if record, known := s.Orders.Newest[order.Resource]; known && record.Revision == newest {
		message += fmt.Sprintf(": %s by %s at %s", record.Action, record.Sender, time.UnixMilli(record.At).UTC().Format(time.RFC3339))
	}
	return &catalog.Failure{Code: catalog.FailureConflict, Revision: newest, Message: message + "; look at it, and give the order again if it still applies"}
}

// recordOrder makes an order the newest one on its resource.
func (a *applier) recordOrder(order *Order) {
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
