package router

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"limehold/loadview"
	"limehold/settings"
	"limehold/wire"
)

// reportingBackends are ingresses that answer with a load report of their own and of others, and record the
// reports that they are sent.
type reportingBackends struct {
	others string
	mutex  sync.Mutex
	sent   []string
	number uint64
}

func (b *reportingBackends) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sent = append(b.sent, strings.Join(request.Header.Values(wire.HeaderLoadView), "+"))
	b.number++
	report := loadview.Report{Process: 1, Version: b.number, Slots: 1000, SuccessShare: 1}
	writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
	writer.Header().Set(wire.HeaderOutcome, wire.OutcomeOK)
	writer.Header().Set(wire.HeaderLoad, string(report.AppendText(nil)))
	writer.Header().Set(wire.HeaderLoadView, b.others)
}

// askWithForgedLoads sends a request that carries load reports of its caller's making.
func askWithForgedLoads(t *testing.T, router *Router) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+router.Address()+"/moved/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "shop.example"
	request.Header.Set("X-Key", "k")
	request.Header.Set(strings.ToLower(wire.HeaderLoadView), "1;2,0,0,0,9,1,1000,0,0,0,1,zz")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

// Services that are divided by key, and routers on which the view is not switched on, exchange nothing; callers neither
// send nor see load reports.
func TestWhoExchangesLoadReports(t *testing.T) {
	ofOthers := loadview.AppendEntries(nil, []loadview.Entry{
		{Session: 2, Report: loadview.Report{Process: 3, Version: 8, Slots: 1000, SuccessShare: 1}},
		{Session: 99, Report: loadview.Report{Process: 3, Version: 8, Slots: 1000, SuccessShare: 1}},
	})
	for name, c := range map[string]struct {
		enabled, keyed bool
		first, second  string
	}{
		"switched on":                {true, false, "1", "1;2,"},
		"switched on, but divided":   {true, true, "", ""},
		"not switched on":            {false, false, "", ""},
		"neither, and it is divided": {false, true, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backends := &reportingBackends{others: string(ofOthers)}
			nodes := 1
			if c.keyed {
				nodes = 4 // the service has four shards, and each needs an owner
			}
			router := startLimitedRouters(t, nodes, c.keyed, backends, func(config *settings.Settings) { config.Router.LoadView = c.enabled })[0]
			if !c.keyed {
				// The second instance is listed, but gets no request.
				addNode(t, router, wire.NodeView{Session: 2, Name: "node-2", Zone: "a", Address: "127.0.0.1:1", Pool: "orders", Slots: 1000, Connections: 1000, SelfLimited: true, Draining: true})
			}
			for range 2 {
				response := askWithForgedLoads(t, router)
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(response.Header.Get(wire.HeaderLoadView), "")
				is.Equal(response.Header.Get(wire.HeaderLoad), "")
			}
			is.Equal(backends.sent[0], c.first)
			is.True(strings.HasPrefix(backends.sent[1], c.second) && (c.second != "" || backends.sent[1] == ""))
			is.True(!strings.Contains(backends.sent[1], ";2r,")) // session 99, which is no instance of the service
			is.True(!strings.Contains(backends.sent[1], ";1,"))  // the receiver's own report
		})
	}
}

// addNode adds a node to a router's table.
func addNode(t *testing.T, router *Router, node wire.NodeView) {
	t.Helper()
	if !router.table.apply(&wire.Update{Revision: 2, From: 1, Nodes: []wire.NodeView{node}}) {
		t.Fatal("the update was not applied")
	}
}
