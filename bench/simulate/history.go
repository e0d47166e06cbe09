package simulate

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"limehold/catalog"
	"limehold/fleet"
)

// history records the reads and commands of the operators. Each service is a
// register with compare-and-set.
type history struct {
	reads    []porcupine.Operation
	attempts []*commandAttempt
}

func newHistory() *history { return &history{} }

// operation is the input of one operation on a register.
type operation struct {
	service  string
	write    bool
	expected uint64
	value    string
}

// outcome is the output of one operation on a register.
type outcome struct {
	view     catalogView
	conflict bool
}

func (h *history) addRead(client int, service string, called, returned time.Duration, view catalogView) {
	h.reads = append(h.reads, porcupine.Operation{
		ClientId: client, Input: operation{service: service}, Call: int64(called), Output: outcome{view: view}, Return: int64(returned),
	})
}

func (h *history) addAttempt(attempt *commandAttempt) { h.attempts = append(h.attempts, attempt) }

// completeOperations returns the reads, and the commands that succeeded or conflicted. For a command
// without an answer, the records of the final state show whether it took effect; it may have done so at
// any time after its call.
func (h *history) completeOperations(final *fleet.State) []porcupine.Operation {
	all := append([]porcupine.Operation(nil), h.reads...)
	for _, attempt := range h.attempts {
		result, ended := attempt.answer, int64(attempt.ended)
		if !attempt.answered {
			record, kept := final.Records[attempt.command.ID]
			if !kept {
				continue
			}
			result, ended = record.Result, int64(1)<<60
		}
		if code := failureCode(result); code != "" && code != catalog.FailureConflict {
			continue
		}
		all = append(all, porcupine.Operation{
			ClientId: attempt.operator.number, Call: int64(attempt.called), Return: ended,
			Input:  operation{service: attempt.service, write: true, expected: attempt.expected, value: attempt.value},
			Output: outcome{view: catalogView{Revision: result.Revision, Value: attempt.value}, conflict: failureCode(result) != ""},
		})
	}
	return all
}

// register is the sequential specification of one service.
var register = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, item := range all {
			service := item.Input.(operation).service
			parts[service] = append(parts[service], item)
		}
		var list [][]porcupine.Operation
		for _, part := range parts {
			list = append(list, part)
		}
		return list
	},
	Init: func() any { return catalogView{} },
	Step: func(state, input, output any) (bool, any) {
		current, request, response := state.(catalogView), input.(operation), output.(outcome)
		if current == (catalogView{}) {
			// The first operation on a service determines its initial value.
			if !request.write {
				return true, response.view
			}
			current = catalogView{Revision: request.expected}
		}
		switch {
		case !request.write:
			return response.view == current, current
		case response.conflict:
			return request.expected != current.Revision, current
		}
		return request.expected == current.Revision && response.view.Revision > current.Revision, response.view
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

const linearizabilityTimeout = 5 * time.Second

// check checks that the operations are linearizable.
func (h *history) check(w *simulation, final *fleet.State) {
	all := h.completeOperations(final)
	w.counts["operations checked for linearizability"] += len(all)
	switch porcupine.CheckOperationsTimeout(register, all, linearizabilityTimeout) {
	case porcupine.Illegal:
		w.fail("reads and changes are linearizable", "%d operations on %d services have no order that explains them", len(all), services)
	case porcupine.Unknown:
		w.counts["histories too long to check"]++
	case porcupine.Ok:
	}
}
