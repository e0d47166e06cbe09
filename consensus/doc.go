// Package consensus is a leader-based replicated log with Raft's terms and
// rules, written as a pure state machine: messages, proposals and clock
// readings go in, messages and log entries come out. It does no I/O, starts no
// goroutine and reads no clock, so that the simulator and the control process
// run exactly the same code.
//
// Extensions over the basic algorithm: pre-vote, check-quorum, a leader lease,
// snapshots with log compaction, learners, and configuration changes of one
// voter at a time. docs/design/0001-replication.md gives the reasons.
//
// Clock readings are time.Duration values measured from any fixed origin on a
// monotonic clock of the local machine. Readings of two members are never
// compared with each other.
package consensus
