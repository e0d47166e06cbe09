package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/codec"
)

// Records as protocol version 11 wrote them.
type legacyRoute struct {
	Name, Host, PathPrefix string
	Kind                   Kind
	Timeout, TargetLatency time.Duration
	Priority, MaxAttempts  int
	Split                  []Share
}

type legacyItem struct {
	Section Section
	Name    string
	Source  []byte
	Route   *legacyRoute
	Service *Service
	Limits  *Limits
}

type legacyChange struct {
	Base, Version uint64
	ReplaceAll    bool
	Upsert        []legacyItem
	Remove        []ItemKey
	Digest        uint64
}

// Guards against data folders of earlier versions that cannot be read, and against changes that are replayed under
// other rules than those by which they were rejected.
func TestChangesOfEarlierVersionsAreReplayedUnderTheirRules(t *testing.T) {
	for name, c := range map[string]struct {
		kind    Kind
		verdict Verdict
	}{
		"a kind that existed": {KindDownload, VerdictApplied},
		"a newer kind":        {KindUpload, VerdictInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := codec.Marshal(&legacyChange{Version: 3, ReplaceAll: true, Digest: 7, Upsert: []legacyItem{
				{Section: SectionServices, Name: "s", Service: &Service{Name: "s"}, Source: []byte("{}")},
				{Section: SectionRoutes, Name: "r", Route: &legacyRoute{Name: "r", Host: "h", PathPrefix: "/", Kind: c.kind, Timeout: time.Second, MaxAttempts: 1, Split: []Share{{"s", 1}}}},
			}})
			is.NoErr(err)
			var change Change
			is.NoErr(codec.Unmarshal(data, &change))
			is.True(change.Legacy)
			is.Equal(change.Upsert[1].Route.Timeout, time.Second)
			// A member that read the change may send it on in a snapshot or a forwarded command.
			again, err := codec.Marshal(&change)
			is.NoErr(err)
			var copied Change
			is.NoErr(codec.Unmarshal(again, &copied))
			is.Equal(copied, change)
			var store Store
			is.Equal(store.Apply(&copied, nil).Verdict, c.verdict)
			copied.Legacy, copied.Version, copied.Base = false, 4, store.Document.Version
			is.Equal(store.Apply(&copied, nil).Verdict, VerdictApplied)
		})
	}
}
