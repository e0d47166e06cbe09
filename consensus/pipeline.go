package consensus

// Pipeline orders what a Core asks for around a disk that takes its time. What depends on a write waits for
// it; heartbeats, their answers and the passing of time do not: on a disk whose syncs take longer than an
// election a group would otherwise never have a leader for long.
//
// Invariants:
//   - A message leaves only once all that was to be written before it or with it is durable. Early messages
//     are the exception; they wait for hard states alone.
//   - Entries are handed on in log order, each after what was written along with it.
//   - One write is under way at a time; what comes meanwhile goes into the next one.
type Pipeline struct {
	waiting []Output
	writing bool
	// undurable counts the hard states that wait or are being written.
	undurable int
}

// Add takes what the core asks for, and returns the messages that may leave at once.
func (p *Pipeline) Add(output Output) []Message {
	if output.Empty() {
		return nil
	}
	early := output.Early
	output.Early = nil
	if p.undurable > 0 || output.HardState != nil {
		// What is said in a term must not be known before the term is.
		output.Messages = append(early[:len(early):len(early)], output.Messages...)
		early = nil
	}
	if output.HardState != nil {
		p.undurable++
	}
	if !output.Empty() {
		p.waiting = append(p.waiting, output)
	}
	return early
}

// Next returns what is to be carried out next: written, if it Writes, and then finished, as Output says. It
// returns false while a write is under way, and when nothing is left.
func (p *Pipeline) Next() (Output, bool) {
	if p.writing || len(p.waiting) == 0 {
		return Output{}, false
	}
	next := p.waiting[0]
	count := 1
	for count < len(p.waiting) && next.takes(&p.waiting[count]) {
		next.take(&p.waiting[count])
		count++
	}
	p.waiting = append([]Output(nil), p.waiting[count:]...)
	p.writing = next.Writes()
	return next, true
}

// Wrote says that what Next returned last is durable.
func (p *Pipeline) Wrote() {
	p.writing = false
	p.undurable = 0
	for i := range p.waiting {
		if p.waiting[i].HardState != nil {
			p.undurable++
		}
	}
}

// Writes reports whether something is to be made durable.
func (o *Output) Writes() bool {
	return o.HardState != nil || len(o.Entries) > 0 || o.Snapshot != nil
}

// takes reports whether a later output can be carried out together with this one. A snapshot stands for
// itself, and entries that replace others are written after these: what was said of those was true.
func (o *Output) takes(later *Output) bool {
	if o.Snapshot != nil || later.Snapshot != nil {
		return false
	}
	if len(o.Entries) == 0 || len(later.Entries) == 0 {
		return true
	}
	return later.Entries[0].Index == o.Entries[len(o.Entries)-1].Index+1
}

// take adds what takes has allowed.
func (o *Output) take(later *Output) {
	if later.HardState != nil {
		o.HardState = later.HardState
	}
	o.Entries = append(o.Entries[:len(o.Entries):len(o.Entries)], later.Entries...)
	o.Messages = append(o.Messages[:len(o.Messages):len(o.Messages)], later.Messages...)
	o.Committed = append(o.Committed[:len(o.Committed):len(o.Committed)], later.Committed...)
}
