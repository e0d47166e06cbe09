package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func route(name, host, prefix string, services ...string) Item {
	built := &Route{Name: name, Host: host, PathPrefix: prefix, Kind: KindSafe, Timeout: time.Second, MaxAttempts: 2}
	for _, service := range services {
		built.Split = append(built.Split, Share{Service: service, Weight: 1})
	}
	return Item{Section: SectionRoutes, Name: name, Route: built}
}

func service(name string) Item {
	return Item{Section: SectionServices, Name: name, Service: &Service{Name: name}}
}

func replacement(base, version uint64, items ...Item) *Change {
	return &Change{Base: base, Version: version, ReplaceAll: true, Upsert: items, Digest: Digest("PUT", fmt.Sprint(base), []byte(fmt.Sprint(version, len(items))))}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	document := &Document{Items: []Item{service("s"), route("a", "h.example", "/", "s"), route("b", "h.example", "/x/", "s"), route("c", "other.example", "/x/y/", "s")}}
	index := NewIndex(document)
	for _, find := range []func(host, path string) *Route{document.Route, index.Route} {
		is.Equal(find("H.example:80", "/x/y/z").Name, "b")
		is.Equal(find("h.example", "/x").Name, "a")
		is.Equal(find("other.example", "/x/y/").Name, "c")
		is.True(find("other.example", "/x/") == nil)
	}
}

func TestOfTwoChangesOnOneVersionOneIsTaken(t *testing.T) {
	is := is.New(t)
	var store Store
	is.Equal(store.Apply(replacement(0, 5, service("s")), nil).Verdict, VerdictApplied)
	is.Equal(store.Apply(replacement(5, 7, service("s"), route("a", "h", "/", "s")), nil).Verdict, VerdictApplied)
	outcome := store.Apply(replacement(5, 7, service("s")), nil)
	is.Equal(outcome.Verdict, VerdictConflict)
	is.Equal(outcome.Current, uint64(7))
	is.Equal(store.Apply(replacement(7, 7, service("s"), service("t")), nil).Verdict, VerdictInvalid)
}

// A change that is sent again after hundreds of later ones is acknowledged and changes nothing.
func TestTakenOrderIsAcknowledgedAgain(t *testing.T) {
	is := is.New(t)
	var store Store
	first := replacement(0, 1, service("s"))
	is.Equal(store.Apply(first, nil).Verdict, VerdictApplied)
	for version := uint64(1); version < 500; version++ {
		is.Equal(store.Apply(replacement(version, version+1, service("s")), nil).Verdict, VerdictApplied)
	}
	again := store.Apply(first, nil)
	is.Equal(again.Verdict, VerdictApplied)
	is.True(again.Repeated)
	is.Equal(store.Document.Version, uint64(500))
}

func TestEditsNameItems(t *testing.T) {
	is := is.New(t)
	var store Store
	is.Equal(store.Apply(replacement(0, 1, service("s"), route("a", "h", "/a/", "s"), route("b", "h", "/b/", "s")), nil).Verdict, VerdictApplied)
	is.Equal(store.Apply(&Change{
		Base: 1, Version: 4, Digest: 9, Upsert: []Item{route("b", "h", "/c/", "s")}, Remove: []ItemKey{{SectionRoutes, "a"}},
	}, nil).Verdict, VerdictApplied)
	is.True(store.Document.Route("h", "/a/") == nil)
	is.True(store.Document.Route("h", "/b/") == nil)
	is.Equal(store.Document.Route("h", "/c/").Name, "b")
}

func TestInvalidTablesAreRefused(t *testing.T) {
	cases := []struct {
		name    string
		corrupt func(*Route)
		field   string
	}{
		{"unknown service", func(r *Route) { r.Split[0].Service = "nobody" }, "service"},
		{"no weight", func(r *Route) { r.Split[0].Weight = 0 }, "weight"},
		{"negative weight", func(r *Route) { r.Split[0].Weight = -1 }, "weight"},
		{"no timeout", func(r *Route) { r.Timeout = 0 }, "timeout"},
		{"target a minute over the timeout", func(r *Route) { r.TargetLatency = r.Timeout + time.Minute }, "target_latency"},
		{"no attempts", func(r *Route) { r.MaxAttempts = 0 }, "max_attempts"},
		{"unknown kind", func(r *Route) { r.Kind = "odd" }, "kind"},
		{"same place", func(r *Route) { r.PathPrefix = "/" }, "path_prefix"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			broken := route("b", "h", "/b/", "s")
			test.corrupt(broken.Route)
			document := Document{Items: []Item{service("s"), route("a", "h", "/", "s"), broken}}
			invalid := document.Validate()
			is.True(invalid != nil)
			is.Equal(invalid.Field, test.field)
		})
	}
}

func TestWayOfGrantsIsChecked(t *testing.T) {
	for name, c := range map[string]struct {
		grantBy string
		valid   bool
	}{
		"not said": {"", true}, "by call": {NotifyByCall, true}, "by heartbeat": {NotifyByHeartbeat, true},
		"unknown": {"pigeon", false}, "in capitals": {"Call", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			item := service("s")
			item.Service.NotifyBy = c.grantBy
			invalid := (&Document{Items: []Item{item}}).Validate()
			is.Equal(invalid == nil, c.valid)
			if invalid != nil {
				is.Equal(invalid.Error(), `service s: grants is "`+c.grantBy+`": use call or heartbeat`)
			}
		})
	}
}
