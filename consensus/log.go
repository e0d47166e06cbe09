package consensus

import "sort"

// memoryLog holds the entries after snapshotIndex, which is the index of the snapshot that
// the log began with or up to which it was last compacted. It may precede the newest snapshot.
//
// Invariant: entries[i].Index == snapshotIndex + 1 + i.
type memoryLog struct {
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []Entry
	// firstUnissued is the first index that has not been returned to be persisted.
	firstUnissued uint64
	// configurations in force, with the index of the entry that set each; the first
	// one is that of the snapshot.
	configurations []indexedConfiguration
}

type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

func newMemoryLog(snapshot Snapshot, entries []Entry) memoryLog {
	log := memoryLog{
		snapshotIndex:  snapshot.Index,
		snapshotTerm:   snapshot.Term,
		firstUnissued:  snapshot.Index + 1,
		configurations: []indexedConfiguration{{snapshot.Index, snapshot.Configuration}},
	}
	log.append(entries)
	log.firstUnissued = log.lastIndex() + 1
	return log
}

func (l *memoryLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

// slice returns the entries in [from, to], limited by count and bytes, but at least
// one entry if there is any.
func (l *memoryLog) slice(from, to uint64, maxCount, maxBytes int) []Entry {
	if from > to || from <= l.snapshotIndex {
		return nil
	}
	part := l.entries[from-l.snapshotIndex-1 : to-l.snapshotIndex]
	size := 0
	for i := range part {
		size += len(part[i].Data)
		if i > 0 && (i >= maxCount || size > maxBytes) {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

// append adds entries that directly follow the last one.
func (l *memoryLog) append(entries []Entry) {
	for _, entry := range entries {
		l.entries = append(l.entries, entry)
		if entry.Kind == EntryConfiguration {
			l.configurations = append(l.configurations, indexedConfiguration{entry.Index, *entry.Configuration})
		}
	}
}

// truncateFrom drops the entries from index on.
func (l *memoryLog) truncateFrom(index uint64) {
	l.entries = l.entries[: index-l.snapshotIndex-1 : index-l.snapshotIndex-1]
	l.firstUnissued = min(l.firstUnissued, index)
	keep := sort.Search(len(l.configurations), func(i int) bool { return l.configurations[i].index >= index })
	l.configurations = l.configurations[:max(keep, 1)]
}

// compact drops the entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	term, held := l.term(index)
	if !held || index <= l.snapshotIndex {
		return
	}
	current := l.configurationAt(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex = index
	l.snapshotTerm = term
	kept := []indexedConfiguration{{index, current}}
	for _, indexed := range l.configurations {
		if indexed.index > index {
			kept = append(kept, indexed)
		}
	}
	l.configurations = kept
}

// restore replaces the whole log with a snapshot.
func (l *memoryLog) restore(snapshot Snapshot) {
	*l = newMemoryLog(snapshot, nil)
}

func (l *memoryLog) configurationAt(index uint64) Configuration {
	for i := len(l.configurations) - 1; i > 0; i-- {
		if l.configurations[i].index <= index {
			return l.configurations[i].configuration
		}
	}
	return l.configurations[0].configuration
}

func (l *memoryLog) latestConfiguration() indexedConfiguration {
	return l.configurations[len(l.configurations)-1]
}
