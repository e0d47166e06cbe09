package quarantine

// View is the form in which a record is published to routers and ingresses.
type View struct {
	Digest Digest
	// Removed is set if the record has been removed.
	Removed     bool
	Opened      uint64
	Crashes     int
	Quarantined bool
	Trial       Trial
}

// View returns the published form of the record.
func (r *Record) View() View {
	return View{Digest: r.Digest, Opened: r.Opened, Crashes: len(r.Crashes), Quarantined: r.Quarantined, Trial: r.Trial}
}

// ViewsOf returns the views of the given digests in their order. Those without a record are marked Removed.
func (t *Table) ViewsOf(digests []Digest) []View {
	views := make([]View, 0, len(digests))
	for _, digest := range digests {
		index, found := t.find(digest)
		if !found {
			views = append(views, View{Digest: digest, Removed: true})
			continue
		}
		views = append(views, t.Records[index].View())
	}
	return views
}

// Views returns the views of all published records.
func (t *Table) Views() []View {
	views := make([]View, 0, len(t.Records))
	for _, record := range t.Records {
		if record.Published {
			views = append(views, record.View())
		}
	}
	return views
}
