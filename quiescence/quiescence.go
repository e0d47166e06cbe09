// Package quiescence lets control know whether a grant that a node sent can still be carried out.
//
// A back end may leave a grant unanswered and carry it out seconds later, when the node's lease is
// over and the node itself has ended: nobody is left to tell the back end otherwise. Control may
// give the node's keys to another one only when no such grant is left. So a node says with each
// renewal of its lease whether it is quiet: every grant that it sent was answered, or cannot be
// carried out any more, and it sends none until control has acknowledged that it is not quiet. Where
// the last word was "quiet" the end of the lease is proof enough; where it was not, or none came,
// control waits for as long as grants are late.
//
// The package is pure. Its values are small and comparable, so that a search over all orders of
// messages can be made of them.
package quiescence

// Claim is what a node says of its grants with one renewal. The zero value says nothing.
type Claim struct {
	// Process is the node's process that says it.
	Process uint64
	// Term is the newest one of a leader that the process had an answer from.
	Term uint64
	// Sequence rises with each claim of a process; zero: nothing is said.
	Sequence uint64
	Quiet    bool
}

// Node is the node's side, for as long as its process runs. The zero value is that of a process that has
// just started: of it, control believes nothing else than that it may send grants.
//
// Invariant: from the making of a claim that says "quiet" on, MaySend is false until a claim that was
// made later and does not say it has been acknowledged.
type Node struct {
	sequence uint64
	quiet    bool
	// since is the sequence of the first claim after which nothing else was said.
	since uint64
	// acknowledged is the highest sequence that control has acknowledged.
	acknowledged uint64
}

// WithClaim is the node once it has made its next claim, and that claim without process and term.
func (n Node) WithClaim(quiet bool) (Node, Claim) {
	n.sequence++
	if quiet != n.quiet {
		n.quiet, n.since = quiet, n.sequence
	}
	return n, Claim{Sequence: n.sequence, Quiet: quiet}
}

// WithAcknowledged is the node once control has acknowledged a claim.
func (n Node) WithAcknowledged(claim Claim) Node {
	n.acknowledged = max(n.acknowledged, claim.Sequence)
	return n
}

// Quiet reports whether the last claim that was made says so.
func (n Node) Quiet() bool { return n.quiet }

// MaySend reports whether grants may be sent: control knows that they may be under way.
func (n Node) MaySend() bool { return !n.quiet && n.acknowledged >= n.since }

// Belief is control's side, of one session. The zero value believes that grants may be under way.
type Belief struct {
	process  uint64
	sequence uint64
	quiet    bool
}

// WithProcess is the belief once a process has taken the session up: it may send grants from then on.
func (b Belief) WithProcess(process uint64) Belief {
	if process == b.process {
		return b
	}
	return Belief{process: process}
}

// IsOf reports whether a claim is of the process that has the session, or says nothing.
func (b Belief) IsOf(claim Claim) bool {
	return claim.Sequence == 0 || b.process == 0 || claim.Process == b.process
}

// WithClaim is the belief once a claim has come to the leader of a term. An older one than the newest
// changes nothing. "Quiet" is believed of those only that were made after an answer of this leader:
// an earlier one may be late, and the node may have had another claim acknowledged by another leader
// since.
func (b Belief) WithClaim(claim Claim, term uint64) Belief {
	if claim.Sequence <= b.sequence || !b.IsOf(claim) {
		return b
	}
	b.sequence = claim.Sequence
	b.quiet = claim.Quiet && claim.Term == term
	return b
}

// Quiet reports whether no grant of the session can be carried out any more, nor will one be sent.
func (b Belief) Quiet() bool { return b.quiet }
