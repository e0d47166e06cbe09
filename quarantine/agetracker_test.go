package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// duties applies expiries and trial offers as a leader does.
type duties struct {
	*history
	ages     AgeTracker
	versions []string
	causes   []string // causes of the trials that were offered or withdrawn
	at       []time.Duration
}

func (d *duties) advance(now, end time.Duration) {
	for ; now < end; now += time.Second {
		expired, offers := d.ages.Due(&d.Table, func(string) []string { return d.versions }, now)
		d.revision++
		d.Expire(expired)
		for _, offer := range offers {
			d.Offer(offer.Record, offer.Version, d.revision)
			d.causes = append(d.causes, offer.Cause)
			d.at = append(d.at, now)
		}
	}
}

func TestSuspectsAreForgottenAfterTheirLastEnd(t *testing.T) {
	is := is.New(t)
	d := &duties{history: &history{}}
	once := identityOf("once", "a")
	d.crash("i-1", "n-1", once)
	d.advance(0, suspectTTL)
	d.crash("i-2", "n-2", once) // another crash just before it expires
	d.advance(suspectTTL, 2*suspectTTL)
	is.Equal(len(d.Records), 2)
	d.advance(2*suspectTTL, 2*suspectTTL+time.Minute)
	is.Equal(len(d.Records), 0)
}

// A member counts ages from its own start, not from when it becomes leader: one that has been a
// follower since the crash expires the suspect in time, one that has just started later.
func TestAgesAreKeptByWhoeverWatches(t *testing.T) {
	is := is.New(t)
	h := &history{}
	h.crash("i-1", "n-1", identityOf("once", "a"))
	var watching, started AgeTracker
	none := func(string) []string { return nil }
	watching.Due(&h.Table, none, 0)
	started.Due(&h.Table, none, suspectTTL-time.Second)
	expired, _ := watching.Due(&h.Table, none, suspectTTL)
	is.Equal(len(expired), 2)
	expired, _ = started.Due(&h.Table, none, suspectTTL)
	is.Equal(len(expired), 0)
}

// A request that still crashes instances crashes only seven more instances in a day without an operator.
func TestTrialsBecomeRare(t *testing.T) {
	is := is.New(t)
	h, crashing := quarantinedHistory()
	d := &duties{history: h, versions: []string{"v1"}}
	failed := 0
	for now := time.Duration(0); now < 24*time.Hour; now += 10 * time.Second {
		d.advance(now, now+10*time.Second)
		if record, _ := d.Get(crashing.Any); record.Trial.Offered() {
			d.crash(fmt.Sprint("t-", failed), "n-1", crashing)
			failed++
		}
	}
	is.Equal(failed, 7)
	record, found := d.Get(crashing.Any)
	is.True(found)
	is.True(record.Quarantined)
	is.True(len(record.Crashes) <= maxCrashes)
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
			h, crashing := quarantinedHistory()
			d := &duties{history: h, versions: c.versions}
			d.advance(0, 3*versionTrialDelay)
			is.Equal(d.causes, c.offered)
			if len(c.offered) == 0 {
				return
			}
			is.Equal(d.at[0], versionTrialDelay)
			record, _ := d.Get(crashing.Any)
			is.Equal(record.Trial.Version, "v2")
			// It crashes instances of that version too, so there is no reason for another early trial.
			h.revision++
			h.RecordCrash(&CrashReport{Service: "numbers", Instance: "x-1", Node: "n-1", Version: "v2", Runs: []Run{{Identity: crashing}}}, h.revision, 0)
			d.causes = nil
			d.advance(3*versionTrialDelay, 6*versionTrialDelay)
			is.True(!slices.Contains(d.causes, causeVersion))
		})
	}
}
