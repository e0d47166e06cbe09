// Package quiescence lets control determine whether a grant sent by a node may still be applied.
//
// A backend may leave a grant unanswered and apply it seconds later, when the lease of the node has
// expired and the node itself has ended, so that no process can revoke it. Control may grant the keys to
// another node only when no such grant is left. Each renewal of a lease therefore carries a claim whether
// the node is quiet: every grant that it sent was answered or can no longer be applied, and it sends none
// until control has acknowledged a claim that it is not quiet. If the last claim was "quiet", the node's
// grants end with its lease. Otherwise, or without a claim, control also waits for the maximum lateness of
// a grant.
//
// The package does no I/O and reads no clock. Its values are small and comparable, so that a test can
// search all orders of messages.
package quiescence

// Claim is a node's claim about its grants in one renewal. The zero value claims nothing.
type Claim struct {
	// Process is the node's process that makes the claim.
	Process uint64
	// Term is the newest leader's term in the answers that the process has received.
	Term uint64
	// Sequence rises with each claim of a process; 0 means that nothing is claimed.
	Sequence uint64
	Quiet    bool
}

// NodeState is the state at a node's process. The zero value is that of a process that has just started, which
// control assumes to send grants.
//
// Invariant: after a claim to be quiet, MaySend is false until a later claim not to be quiet has been
// acknowledged.
type NodeState struct {
	sequence uint64
	quiet    bool
	// since is the sequence of the first claim with the current value of quiet; 0 if no claim has
	// changed it.
	since uint64
	// acknowledged is the highest sequence that control has acknowledged.
	acknowledged uint64
}

// WithClaim returns the node after its next claim, and that claim without Process and Term.
func (n NodeState) WithClaim(quiet bool) (NodeState, Claim) {
	n.sequence++
	if quiet != n.quiet {
		n.quiet, n.since = quiet, n.sequence
	}
	return n, Claim{Sequence: n.sequence, Quiet: quiet}
}

// WithAcknowledged returns the node after control has acknowledged a claim.
func (n NodeState) WithAcknowledged(claim Claim) NodeState {
	n.acknowledged = max(n.acknowledged, claim.Sequence)
	return n
}

// Quiet reports whether the last claim was to be quiet.
func (n NodeState) Quiet() bool { return n.quiet }

// MaySend reports whether grants may be sent: control has acknowledged that the node is not quiet, or the
// process has not claimed to be quiet since its start.
func (n NodeState) MaySend() bool { return !n.quiet && n.acknowledged >= n.since }

// ControlState is control's view of one session. The zero value assumes that grants may be outstanding.
type ControlState struct {
	process  uint64
	sequence uint64
	quiet    bool
}

// WithProcess returns the state after a process has taken over the session, after which that process may
// send grants.
func (s ControlState) WithProcess(process uint64) ControlState {
	if process == s.process {
		return s
	}
	return ControlState{process: process}
}

// IsOf reports whether a claim is from the process that uses the session, or claims nothing. If no process
// is known, it returns true.
func (s ControlState) IsOf(claim Claim) bool {
	return claim.Sequence == 0 || s.process == 0 || claim.Process == s.process
}

// WithClaim returns the state after the leader of a term has received a claim. A claim of another process,
// or one that is not newer than the newest, changes nothing. A claim to be quiet counts only if it was
// made after an answer of this leader: an earlier one may be late, and another leader may have
// acknowledged a later claim since.
func (s ControlState) WithClaim(claim Claim, term uint64) ControlState {
	if claim.Sequence <= s.sequence || !s.IsOf(claim) {
		return s
	}
	s.sequence = claim.Sequence
	s.quiet = claim.Quiet && claim.Term == term
	return s
}

// Quiet reports whether no grant of the session can still be applied and none will be sent.
func (s ControlState) Quiet() bool { return s.quiet }
