// Package hollow runs real control members against thousands of hollow nodes and
// routers that share this process: they speak the protocol and do nothing else.
// What control uses at several sizes gives the slopes of docs/CAPACITY.md.
package hollow

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"limehold/adminapi"
	deployment "limehold/bench/fleet"
	"limehold/bench/shape"
	"limehold/ownership"
)

// Options configures a run.
type Options struct {
	Nodes   int
	Shards  int
	Routers int
	// Duration of the steady state.
	Duration time.Duration
	Folder   string
	Limehold string
	// Limebench is not started; the deployment wants its path.
	Limebench string
}

const (
	shardsOfService = 256
	zones           = 4
	adminLimit      = 30 * time.Second
	phaseLimit      = 120 * time.Second
	pollEvery       = 5 * time.Millisecond
	// creators is how many services are created at once: all processes share one
	// machine, and a burst would measure the machine.
	creators = 2
	// settleTime between the set-up and what is measured.
	settleTime      = 3 * time.Second
	openers         = 64
	lossesMeasured  = 3
	changesMeasured = 20
	restartShare    = 0.05
	lostZone        = "zone-1"
)

// Fleet is a control group with hollow nodes and routers.
type Fleet struct {
	options Options
	control *deployment.Fleet
	owners  *owners
	nodes   []*node
	routers []*router

	addresses    atomic.Pointer[[]string]
	renewals     atomic.Int64
	confirms     atomic.Int64
	sessionsLost atomic.Int64
	listBytes    atomic.Int64
	updateBytes  atomic.Int64
	running      sync.WaitGroup
}

func (f *Fleet) address(number int) string {
	list := *f.addresses.Load()
	return list[number%len(list)]
}

// Run measures one size.
func Run(ctx context.Context, options Options) (*Size, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	control, err := deployment.Start(deployment.Options{
		Shape:  &shape.Shape{Name: clusterName, Zones: []string{"zone-0", "zone-1", "zone-2"}},
		Folder: options.Folder, Limehold: options.Limehold, Limebench: options.Limebench, NoDelays: true,
	})
	if err != nil {
		return nil, eris.Wrap(err, "start the control group")
	}
	defer control.Stop()
	f := &Fleet{options: options, control: control, owners: &owners{shards: map[ownership.Key]owner{}}}
	f.noteAddresses()
	size := &Size{Nodes: options.Nodes, Shards: options.Shards, Routers: options.Routers}
	steps := []func(context.Context, *Size) error{
		f.startNodes, f.createServices, f.startRouters, f.steadyState, f.changeConfiguration, f.loseNodes, f.restartMany, f.loseZone, f.loseLeader,
	}
	for _, step := range steps {
		if err := step(ctx, size); err != nil {
			return size, err
		}
	}
	size.PeakRSSMB = f.peakRSS()
	cancel()
	f.running.Wait()
	return size, nil
}

func (f *Fleet) noteAddresses() {
	var list []string
	for _, member := range f.control.Members {
		list = append(list, member.Field("address"))
	}
	f.addresses.Store(&list)
}

const template = `
template: hollow
parameters:
  - {name: prefix, type: name}
  - {name: shards, type: int}
  - {name: timeout, type: duration, default: 3s}
spec:
  match: {path_prefix: "/${prefix}"}
  pool: hollow
  keyed: true
  key: {source: path, segment: 0}
  shards: ${shards}
  routes:
    - {timeout: "${timeout}", hold: 1s}
`

func serviceName(number int) string { return fmt.Sprintf("service-%d", number) }

func (f *Fleet) createServices(ctx context.Context, size *Size) error {
	client := f.control.Admin()
	if err := client.Do(adminapi.Request{Method: http.MethodPost, Path: adminapi.PathTemplates, Body: []byte(template)}, nil); err != nil {
		return err
	}
	started := time.Now()
	group, _ := errgroup.WithContext(ctx)
	group.SetLimit(creators)
	left := f.options.Shards
	for number := 0; left > 0; number++ {
		shards := min(left, shardsOfService)
		left -= shards
		size.Services++
		group.Go(func() error {
			return f.control.Admin().Do(adminapi.Request{Method: http.MethodPost, Path: adminapi.PathServices, Body: adminapi.CreateService{
				Name: serviceName(number), Template: "hollow", Values: map[string]string{"prefix": serviceName(number), "shards": fmt.Sprint(shards)},
			}}, nil)
		})
	}
	if err := group.Wait(); err != nil {
		return eris.Wrap(err, "create services")
	}
	size.CreatesPerSecond = float64(size.Services) / time.Since(started).Seconds()
	err := f.until("every shard has an owner", func() bool { return f.owners.count() == f.options.Shards })
	size.AssignsPerSecond = float64(f.options.Shards) / time.Since(started).Seconds()
	return err
}

// startNodes opens all sessions.
func (f *Fleet) startNodes(ctx context.Context, size *Size) error {
	started := time.Now()
	gate := make(chan struct{}, openers)
	for i := range f.options.Nodes {
		n := &node{fleet: f, name: fmt.Sprintf("node-%d", i), zone: fmt.Sprintf("zone-%d", i%zones)}
		f.nodes = append(f.nodes, n)
		gate <- struct{}{}
		f.launch(ctx, n)
		go func() {
			for n.lastRenewal.Load() == 0 && ctx.Err() == nil {
				time.Sleep(pollEvery)
			}
			<-gate
		}()
	}
	err := f.until("every node has a lease", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool { return n.lastRenewal.Load() == 0 })
	})
	size.StartSeconds = time.Since(started).Seconds()
	return err
}

func (f *Fleet) launch(ctx context.Context, n *node) {
	ctx, n.cancel = context.WithCancel(ctx)
	f.running.Add(1)
	go func() { defer f.running.Done(); n.run(ctx) }()
}

func (f *Fleet) startRouters(ctx context.Context, size *Size) error {
	before := f.updateBytes.Load()
	for i := range f.options.Routers {
		r := &router{fleet: f, name: fmt.Sprintf("router-%d", i), target: i}
		f.routers = append(f.routers, r)
		f.running.Add(1)
		go func() { defer f.running.Done(); r.run(ctx) }()
	}
	err := f.until("every router has a snapshot", func() bool {
		return !slices.ContainsFunc(f.routers, func(r *router) bool { return r.revision.Load() == 0 })
	})
	if len(f.routers) > 0 {
		size.SnapshotBytes = (f.updateBytes.Load() - before) / int64(len(f.routers))
	}
	return err
}

func (f *Fleet) until(what string, done func() bool) error {
	deadline := time.Now().Add(phaseLimit)
	for !done() {
		if time.Now().After(deadline) {
			return eris.Errorf("not within %s: %s", phaseLimit, what)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

func (f *Fleet) peakRSS() float64 {
	peak := 0.0
	for _, member := range f.control.Members {
		peak = max(peak, float64(member.Usage().PeakRSSBytes)/(1<<20))
	}
	return peak
}
