package quarantine

// Row is the form in which a record is published to routers and ingresses.
type PublishedRecord struct {
	Digest Digest
	// Gone is set if the record has been removed.
	Removed     bool
	Opened      uint64
	Crashes     int
	Quarantined bool
	Trial       Trial
}

// Row returns the published form of the record.
func (r *Record) AsPublished() PublishedRecord {
	return PublishedRecord{Digest: r.Digest, Opened: r.Opened, Crashes: len(r.Crashes), Quarantined: r.Quarantined, Trial: r.Trial}
}

// RowsOf returns the rows of the given digests in their order. Rows without a record are marked Gone.
func (t *Table) PublishedOf(digests []Digest) []PublishedRecord {
	rows := make([]PublishedRecord, 0, len(digests))
	for _, digest := range digests {
		index, found := t.find(digest)
		if !found {
			rows = append(rows, PublishedRecord{Digest: digest, Removed: true})
			continue
		}
		rows = append(rows, t.Records[index].AsPublished())
	}
	return rows
}

// Rows returns the rows of all published records.
func (t *Table) PublishedRecords() []PublishedRecord {
	rows := make([]PublishedRecord, 0, len(t.Records))
	for _, record := range t.Records {
		if record.Published {
			rows = append(rows, record.AsPublished())
		}
	}
	return rows
}
