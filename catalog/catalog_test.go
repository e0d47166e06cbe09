package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validTemplate = `
template: proofs
parameters:
  - {name: school, type: name}
  - {name: shards, type: int, default: "16", min: 1, max: 64}
  - {name: timeout, type: duration, default: 3s}
spec:
  match: {path_prefix: "/${school}/proofs"}
  pool: proofs
  keyed: true
  key: {source: path, segment: 0}
  shards: ${shards}
  routes:
    - {methods: [GET], timeout: "${timeout}"}
    - {timeout: 1s}
`

func mustParse(t *testing.T, text string) Template {
	t.Helper()
	template, err := ParseTemplate([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return template
}

func TestServiceIsResolvedFromItsTemplate(t *testing.T) {
	is := is.New(t)
	template := mustParse(t, validTemplate)
	spec, err := template.Resolve("kopavogur-proofs", map[string]string{"school": "kopavogur", "timeout": "250ms"})
	is.NoErr(err)
	is.Equal(spec.Match.PathPrefix, "/kopavogur/proofs")
	is.Equal(spec.Shards, 16)
	route, repeatable := spec.RouteFor("GET", "/x")
	is.Equal(route.Timeout.Std(), 250*time.Millisecond)
	is.True(repeatable)
	_, repeatable = spec.RouteFor("POST", "/x")
	is.Equal(repeatable, false) // POST is not a safe method
}

func TestBadValuesNameTheParameter(t *testing.T) {
	template := mustParse(t, validTemplate)
	cases := []struct{ name, parameter, value, want string }{
		{"missing", "", "", "school"},
		{"unknown", "colour", "red", "colour"},
		{"not a number", "shards", "many", "shards"},
		{"too large", "shards", "65", "shards"},
		{"not a time", "timeout", "soon", "timeout"},
		{"illegal name", "school", "Kópavogur!", "school"},
		{"injection", "school", "a\"}\npool: other", "school"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			values := map[string]string{"school": "kopavogur"}
			if test.parameter == "" {
				delete(values, "school")
			} else {
				values[test.parameter] = test.value
			}
			_, err := template.Resolve("x", values)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want)) // the error names the parameter
		})
	}
}

func TestBadTemplatesAreRefused(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", "pool: proofs", "pole: proofs", "pole"},
		{"undeclared parameter", "${shards}", "${shrads}", "shrads"},
		{"illegal template name", "template: proofs", "template: Proofs", "template"},
		{"unknown type", "type: duration", "type: time", "type"},
		{"default out of bounds", "default: \"16\"", "default: \"99\"", "shards"},
		{"no match", "match: {path_prefix: \"/${school}/proofs\"}", "match: {}", "spec.match"},
		{"keyed without key", "key: {source: path, segment: 0}", "key: {}", "key"},
		{"unknown field of a route", "routes:", "routes:\n    - {tiemout: 1s}", "tiemout"},
		{"stall out of bounds", "pool: proofs", "pool: proofs\n  stall_timeout: 1ms", "spec.stall_timeout"},
		{"unknown locality", "pool: proofs", "pool: proofs\n  locality: moon", "spec.locality"},
		{"trailing slash", "/${school}/proofs", "/${school}/proofs/", "path_prefix"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			template, err := ParseTemplate([]byte(strings.Replace(validTemplate, test.old, test.new, 1)))
			if err == nil {
				_, err = template.Resolve("x", map[string]string{"school": "kopavogur"})
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

// An explicit zero must not be replaced by the default.
func TestZeroThatIsWrittenStaysZero(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validTemplate, "pool: proofs", "pool: proofs\n  retry_budget_percent: 0\n  moves_per_minute: 0\n  queue_length: 0\n  weights: {churn: 0}", 1)
	text = strings.Replace(text, "routes:", "routes:\n    - {methods: [PUT], hold: 0s, max_request_bytes: 0}", 1)
	template := mustParse(t, text)
	spec, err := template.Resolve("x", map[string]string{"school": "kopavogur"})
	is.NoErr(err)
	is.Equal([]int{spec.RetryBudgetPercent, spec.MovesPerMinute, spec.QueueLength}, []int{0, 0, 0})
	is.Equal(spec.Weights, Weights{Imbalance: 1, Churn: 0, Unavailable: 1})
	is.Equal(spec.Routes[0].Hold, Duration(0))
	is.Equal(spec.Routes[0].MaxRequestBytes, int64(0))
	is.Equal(spec.Routes[0].MaxAttempts, defaultMaxAttempts)
	is.Equal(spec.Routes[0].Timeout, Duration(defaultTimeout))
	is.Equal(spec.Routes[1].Hold, Duration(defaultHold))
}

func newTestCatalog(t *testing.T) *Catalog {
	t.Helper()
	catalog := New()
	if _, failure := catalog.ApplyTemplate(mustParse(t, validTemplate), AnyRevision, 1); failure != nil {
		t.Fatal(failure)
	}
	for i, school := range []string{"kopavogur", "selfoss"} {
		if failure := catalog.CreateService(school+"-proofs", "proofs", map[string]string{"school": school}, uint64(i+2)); failure != nil {
			t.Fatal(failure)
		}
	}
	return catalog
}

func TestTwoServicesCannotMatchAlike(t *testing.T) {
	is := is.New(t)
	catalog := newTestCatalog(t)
	failure := catalog.CreateService("other", "proofs", map[string]string{"school": "selfoss"}, 9)
	is.Equal(failure.Code, FailureDuplicate)
	failure = catalog.UpdateService("kopavogur-proofs", map[string]string{"school": "selfoss"}, AnyRevision, 9)
	is.Equal(failure.Code, FailureDuplicate)
}

func TestTemplateChangeThatBreaksAServiceChangesNothing(t *testing.T) {
	is := is.New(t)
	catalog := newTestCatalog(t)
	_, failure := catalog.ApplyTemplate(mustParse(t, strings.Replace(validTemplate, "/${school}/proofs", "/all/proofs", 1)), AnyRevision, 9)
	is.Equal(failure.Code, FailureDuplicate)
	is.Equal(catalog.Templates["proofs"].Revision, uint64(1))
	is.Equal(catalog.Services["selfoss-proofs"].Spec.Match.PathPrefix, "/selfoss/proofs")
}

func TestShardsAreFixedAtCreation(t *testing.T) {
	is := is.New(t)
	failure := newTestCatalog(t).UpdateService("selfoss-proofs", map[string]string{"shards": "32"}, AnyRevision, 9)
	is.Equal(failure.Code, FailureInvalid)
}

func TestTemplateInUseIsNotRetired(t *testing.T) {
	is := is.New(t)
	is.Equal(newTestCatalog(t).RetireTemplate("proofs", AnyRevision).Code, FailureInUse)
}

func TestCompareAndSet(t *testing.T) {
	cases := []struct {
		name     string
		expected uint64
		code     FailureCode
	}{
		{"seen the newest", 3, ""},
		{"not compared", AnyRevision, ""},
		{"seen an older one", 2, FailureConflict},
		{"must not exist", 0, FailureDuplicate},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			failure := newTestCatalog(t).UpdateService("selfoss-proofs", map[string]string{"timeout": "1s"}, test.expected, 9)
			if test.code == "" {
				is.True(failure == nil)
				return
			}
			is.Equal(failure.Code, test.code)
			is.Equal(failure.Revision, uint64(3))
		})
	}
}

// An update of a service of the route table, which has no template, must be rejected. A panic here
// ends every member that applies the command.
func TestUpdateOfARouteTableServiceIsRejected(t *testing.T) {
	catalog := New()
	catalog.PutRoutedService("a", Spec{}, 1)
	defer func() {
		if cause := recover(); cause != nil {
			t.Fatalf("the update panicked: %v", cause)
		}
	}()
	if catalog.UpdateService("a", map[string]string{"timeout": "1s"}, AnyRevision, 2) == nil {
		t.Fatal("the update was accepted")
	}
}
