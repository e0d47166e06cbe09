package quarantine

// Row is the form in which a record is published to routers and ingresses.
type Row struct {
	Digest Digest
	// Gone is set if the record has been removed.
	Gone        bool
	Opened      uint64
	Ends        int
	Quarantined bool
	Trial       Trial
}

// Row returns the published form of the record.
func (r *Record) Row() Row {
	return Row{Digest: r.Digest, Opened: r.Opened, Ends: len(r.Ends), Quarantined: r.Quarantined, Trial: r.Trial}
}

// RowsOf returns the rows of the given digests in their order. Rows without a record are marked Gone.
func (t *Table) RowsOf(digests []Digest) []Row {
	rows := make([]Row, 0, len(digests))
	for _, digest := range digests {
		index, found := t.find(digest)
		if !found {
			rows = append(rows, Row{Digest: digest, Gone: true})
			continue
		}
		rows = append(rows, t.Records[index].Row())
	}
	return rows
}

// Rows returns the rows of all published records.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, len(t.Records))
	for _, record := range t.Records {
		if record.Published {
			rows = append(rows, record.Row())
		}
	}
	return rows
}
