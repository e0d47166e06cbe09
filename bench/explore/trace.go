// Prints a trace as a table of events and the resulting states of control, the sidecars and
// the instances.
package explore

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// cellPadding is the space between columns, in characters.
const cellPadding = 2

// Trace is a sequence of events from the initial state to one that violates a rule.
type Trace []step

// String formats the trace as a table. The columns of a node show, for the sidecar: the
// incarnation ("life") that it believes is running, its session, the epoch in its list, and the
// incarnation that it is connected to, with a star once that is cleared; for the instance: its
// incarnation, the highest fence that it has seen, and the fence under which it holds the key.
func (t Trace) String() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, cellPadding, ' ', 0)
	fmt.Fprintln(w, "\tevent\tcontrol\tsidecar 1\tinstance 1\tsidecar 2\tinstance 2\tbroken")
	for i, step := range t {
		v := step.to
		fmt.Fprintf(w, "%d\t%s\t%s", i+1, step, v.record)
		for _, n := range v.nodes {
			fmt.Fprintf(w, "\t%s\t%s", n.sidecar, n.instanceCell())
		}
		fmt.Fprintf(w, "\t%s\n", v.violation)
	}
	w.Flush() // cannot fail: it writes to memory
	return text.String()
}

// String formats the cell of control.
func (r record) String() string {
	if r.owner == 0 {
		return fmt.Sprintf("free, epoch %d", r.epoch)
	}
	return fmt.Sprintf("session %d, epoch %d", r.owner, r.epoch)
}

// String formats the cell of a sidecar.
func (s sidecar) String() string {
	star := ""
	if s.clearFence != 0 {
		star = "*"
	}
	return fmt.Sprintf("life %s session %s list %s conn %s%s", orDash(s.believedIncarnation), orDash(s.session), orDash(s.listedEpoch), orDash(s.connectedIncarnation), star)
}

func (n node) instanceCell() string {
	if !n.running {
		return "none runs"
	}
	return fmt.Sprintf("life %d seen %s holds %s", n.incarnations, orDash(n.instance.highestFence), orDash(n.instance.heldFence))
}

func orDash(number uint8) string {
	if number == 0 {
		return "-"
	}
	return fmt.Sprint(number)
}
