package consensus

// Pipeline queues the outputs of a Core while the disk is slow. Work that depends on a write waits for
// the write; early messages, such as heartbeats and the responses to them, wait for hard states only.
// Otherwise a group whose syncs take longer than an election timeout could not keep a leader.
//
// Invariants:
//   - A message is sent only once everything that was to be written before it or with it is durable. Early
//     messages are the exception; they wait for hard states alone.
//   - Committed entries are passed on in log order, each after the writes of its output.
//   - One write is in progress at a time; outputs added meanwhile go into later writes.
type Pipeline struct {
	queue   []Output
	writing bool
	// pendingHardStates counts the hard states that are queued or being written.
	pendingHardStates int
}

// Add queues an output of the core and returns the messages that may be sent at once.
func (p *Pipeline) Add(output Output) []Message {
	if output.Empty() {
		return nil
	}
	early := output.Early
	output.Early = nil
	if p.pendingHardStates > 0 || output.HardState != nil {
		// Messages of a term must not be sent before the term is durable.
		output.Messages = append(early[:len(early):len(early)], output.Messages...)
		early = nil
	}
	if output.HardState != nil {
		p.pendingHardStates++
	}
	if !output.Empty() {
		p.queue = append(p.queue, output)
	}
	return early
}

// Next returns the next output to carry out in the order that Output describes. If it NeedsWrite, WriteDone must be
// called once it is durable. Next returns false while a write is in progress and when the queue is empty.
func (p *Pipeline) Next() (Output, bool) {
	if p.writing || len(p.queue) == 0 {
		return Output{}, false
	}
	next := p.queue[0]
	count := 1
	for count < len(p.queue) && next.canMerge(&p.queue[count]) {
		next.merge(&p.queue[count])
		count++
	}
	p.queue = append([]Output(nil), p.queue[count:]...)
	p.writing = next.NeedsWrite()
	return next, true
}

// WriteDone records that the output last returned by Next is durable.
func (p *Pipeline) WriteDone() {
	p.writing = false
	p.pendingHardStates = 0
	for i := range p.queue {
		if p.queue[i].HardState != nil {
			p.pendingHardStates++
		}
	}
}

// NeedsWrite reports whether the output contains anything to make durable.
func (o *Output) NeedsWrite() bool {
	return o.HardState != nil || len(o.Entries) > 0 || o.Snapshot != nil
}

// canMerge reports whether a later output can be carried out together with this one. A snapshot is always written
// alone. Entries that replace earlier ones are written after these, because messages may acknowledge the
// earlier ones.
func (o *Output) canMerge(later *Output) bool {
	if o.Snapshot != nil || later.Snapshot != nil {
		return false
	}
	if len(o.Entries) == 0 || len(later.Entries) == 0 {
		return true
	}
	return later.Entries[0].Index == o.Entries[len(o.Entries)-1].Index+1
}

// merge adds a later output for which canMerge returned true. It ignores Fatal, which the driver
// checks before it adds an output.
func (o *Output) merge(later *Output) {
	if later.HardState != nil {
		o.HardState = later.HardState
	}
	o.Entries = append(o.Entries[:len(o.Entries):len(o.Entries)], later.Entries...)
	o.Messages = append(o.Messages[:len(o.Messages):len(o.Messages)], later.Messages...)
	o.Committed = append(o.Committed[:len(o.Committed):len(o.Committed)], later.Committed...)
}
