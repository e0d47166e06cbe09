// Package platform simulates the platform's machine list. The list can lag behind
// and hold wrong states.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/control"
)

// List is a machine list that is served over HTTP. Changes appear after a lag.
type List struct {
	listener net.Listener
	server   *fasthttp.Server
	mutex    sync.Mutex
	lag      time.Duration
	changes  []change
}

type change struct {
	at    time.Time
	name  string
	state string
}

// New listens on a free loopback port and serves an empty list. Every change
// appears in the served list after lag.
func New(lag time.Duration) (*List, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for the machine list")
	}
	list := &List{listener: listener, lag: lag}
	list.server = &fasthttp.Server{Handler: list.handle, NoDefaultServerHeader: true}
	go func() { _ = list.server.Serve(listener) }()
	return list, nil
}

// URL returns the URL of the list.
func (l *List) URL() string { return "http://" + l.listener.Addr().String() + "/machines" }

// Set sets a machine's state: live, leaving or gone.
func (l *List) Set(name, state string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changes = append(l.changes, change{at: time.Now(), name: name, state: state})
}

// Close stops the HTTP server.
func (l *List) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.server.ShutdownWithContext(ctx)
}

func (l *List) handle(request *fasthttp.RequestCtx) {
	body, err := json.Marshal(l.visibleAt(time.Now()))
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	request.SetContentType("application/json")
	request.SetBody(body)
}

// visibleAt returns the list as it was lag before now.
func (l *List) visibleAt(now time.Time) control.PlatformList {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	states := map[string]string{}
	for _, item := range l.changes {
		if now.Sub(item.at) >= l.lag {
			states[item.name] = item.state
		}
	}
	var list control.PlatformList
	for name, state := range states {
		list.Machines = append(list.Machines, control.PlatformMachine{Name: name, State: state})
	}
	slices.SortFunc(list.Machines, func(a, b control.PlatformMachine) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}
