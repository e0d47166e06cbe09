package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// duties applies what is due, as a leader does, until a time.
type duties struct {
	*history
	ages     Ages
	versions []string
	offered  []string // causes of what was offered or taken back
	at       []time.Duration
}

func (d *duties) until(now, end time.Duration) {
	for ; now < end; now += time.Second {
		expired, offers := d.ages.Due(&d.Table, func(string) []string { return d.versions }, now)
		d.revision++
		d.Expire(expired)
		for _, offer := range offers {
			d.Offer(offer.Record, offer.Version, d.revision)
			d.offered = append(d.offered, offer.Cause)
			d.at = append(d.at, now)
		}
	}
}

func TestSuspectsAreForgottenAfterTheirLastEnd(t *testing.T) {
	is := is.New(t)
	d := &duties{history: &history{}}
	once := told("once", "a")
	d.end("i-1", "n-1", once)
	d.until(0, suspectFor)
	d.end("i-2", "n-2", once) // it is in another end just before it is forgotten
	d.until(suspectFor, 2*suspectFor)
	is.Equal(len(d.Records), 2)
	d.until(2*suspectFor, 2*suspectFor+time.Minute)
	is.Equal(len(d.Records), 0)
}

// Whoever comes to lead counts from the state that it finds; one that has been a member all
// along has counted already.
func TestAgesAreKeptByWhoeverWatches(t *testing.T) {
	is := is.New(t)
	h := &history{}
	h.end("i-1", "n-1", told("once", "a"))
	var watching, started Ages
	none := func(string) []string { return nil }
	watching.Due(&h.Table, none, 0)
	started.Due(&h.Table, none, suspectFor-time.Second)
	expired, _ := watching.Due(&h.Table, none, suspectFor)
	is.Equal(len(expired), 2)
	expired, _ = started.Due(&h.Table, none, suspectFor)
	is.Equal(len(expired), 0)
}

// In a day without an operator a request that goes on being deadly ends seven more instances.
func TestTrialsBecomeRare(t *testing.T) {
	is := is.New(t)
	h, deadly := quarantinedOnce()
	d := &duties{history: h, versions: []string{"v1"}}
	failed := 0
	for now := time.Duration(0); now < 24*time.Hour; now += 10 * time.Second {
		d.until(now, now+10*time.Second)
		if record, _ := d.Get(deadly.Any); record.Trial.Offered() {
			d.end(fmt.Sprint("t-", failed), "n-1", deadly)
			failed++
		}
	}
	is.Equal(failed, 7)
	record, found := d.Get(deadly.Any)
	is.True(found)
	is.True(record.Quarantined)
	is.True(len(record.Ends) <= maxEnds)
}

func TestAnotherVersionIsTriedSoon(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		offered  []string
	}{
		"the version that ended":      {[]string{"v1"}, nil},
		"another one beside it":       {[]string{"v1", "v2"}, []string{causeVersion, causeUnused, causeVersion}},
		"instances that do not say":   {[]string{""}, nil},
		"nobody serves at the moment": {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, deadly := quarantinedOnce()
			d := &duties{history: h, versions: c.versions}
			d.until(0, 3*versionAfter)
			is.Equal(d.offered, c.offered)
			if len(c.offered) == 0 {
				return
			}
			is.Equal(d.at[0], versionAfter)
			record, _ := d.Get(deadly.Any)
			is.Equal(record.Trial.Version, "v2")
			// It ends instances of that version too: there is no further reason to try.
			h.revision++
			h.TakeEnd(&End{Service: "numbers", Instance: "x-1", Node: "n-1", Version: "v2", Runs: []Run{{Identity: deadly}}}, h.revision, 0)
			d.offered = nil
			d.until(3*versionAfter, 6*versionAfter)
			is.True(!slices.Contains(d.offered, causeVersion))
		})
	}
}
