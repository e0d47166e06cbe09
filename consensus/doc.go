// Package consensus implements a leader-based replicated log with the terms and
// rules of Raft as a pure state machine: messages, proposals and clock readings
// go in, messages and log entries come out. It does no I/O, starts no goroutine
// and reads no clock, so that the simulator and the control process run exactly
// the same code.
//
// Extensions to the basic algorithm: pre-vote, check-quorum, a leader lease,
// snapshots with log compaction, learners, and configuration changes of one
// voter at a time or, by joint consensus, of several.
// docs/design/0001-replication.md gives the reasons.
//
// Clock readings are time.Duration values since an arbitrary fixed origin on the
// local machine's monotonic clock. Readings of two members are never compared
// with each other.
package consensus
