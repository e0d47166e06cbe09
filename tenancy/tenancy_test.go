package tenancy

import (
	"testing"

	"github.com/matryer/is"

	"limehold/routing"
)

func directory() *Directory {
	tenant := func(name string, keys ...string) routing.Item {
		built := &routing.Tenant{Name: name}
		for _, key := range keys {
			built.Keys = append(built.Keys, routing.DigestKey([]byte(key)))
		}
		return routing.Item{Section: routing.SectionTenants, Name: name, Tenant: built}
	}
	return NewDirectory(&routing.Document{Items: []routing.Item{tenant("one", "first", "second"), tenant("two", "third")}})
}

func TestAuthenticate(t *testing.T) {
	for name, c := range map[string]struct{ authorization, tenant string }{
		"a key":                 {"Bearer first", "one"},
		"another of the tenant": {"Bearer second", "one"},
		"of another tenant":     {"Bearer third", "two"},
		"scheme in small type":  {"bearer third", "two"},
		"further blanks":        {"Bearer  third ", "two"},
		"unknown":               {"Bearer fourth", ""},
		"prefix of a key":       {"Bearer fir", ""},
		"other scheme":          {"Basic first", ""},
		"no scheme":             {"first", ""},
		"no key":                {"Bearer ", ""},
		"nothing":               {"", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if tenant := directory().Authenticate([]byte(c.authorization)); tenant != nil {
				got = tenant.Name
			}
			if got != c.tenant {
				t.Errorf("tenant is %q, want %q", got, c.tenant)
			}
		})
	}
}

func TestTablesWithoutTenantsNeedNoKey(t *testing.T) {
	is := is.New(t)
	is.True(directory().Defined())
	is.Equal(NewDirectory(&routing.Document{}).Defined(), false)
}

func TestRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, tenant []string
		region        string
		want          bool
	}{
		"no bounds":              {nil, nil, "north", true},
		"no bounds, unknown":     {nil, nil, "", true},
		"route allows":           {[]string{"north"}, nil, "north", true},
		"route forbids":          {[]string{"south"}, nil, "north", false},
		"tenant forbids":         {[]string{"north"}, []string{"south"}, "north", false},
		"both allow":             {[]string{"north", "south"}, []string{"north"}, "north", true},
		"bounds, unknown region": {[]string{"north"}, nil, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route, tenant := &routing.Route{Regions: c.route}, &routing.Tenant{Regions: c.tenant}
			is.Equal(Allows(route, tenant, c.region), c.want)
			is.Equal(Restricts(route, tenant), len(c.route)+len(c.tenant) > 0)
		})
	}
}
