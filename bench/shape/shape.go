// Package shape describes the two deployments that the test tool simulates: zones,
// services, instances, slots, connections and delays as their operators specified
// them, and the requests of their callers.
package shape

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"limehold/examples"
)

// Pool is a group of identical instances that serve the same services.
type Pool struct {
	Name        string
	Instances   int
	Slots       int
	Connections int
	ServiceTime time.Duration
}

// Service is a service that is created from a template at the start of a run.
type Service struct {
	Name     string
	Template string
	Values   map[string]string
}

// Stream is one kind of request in the generated load.
type Stream struct {
	Name string
	// Weight is the stream's share of all requests, relative to the other weights.
	Weight float64
	Method string
	// Prefixes are the path prefixes of the services. Each request goes to one of them.
	Prefixes []string
	// Keys is the number of keys of each prefix; 0 if the services are not keyed.
	Keys int
	// Bytes is the size of the answer's body.
	Bytes int
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Repeatable reports whether the template allows repeating the requests.
	Repeatable bool
}

// Shape describes one deployment and its load.
type Shape struct {
	Name  string
	Zones []string
	// ZoneDelay is the one-way network delay between zones, ClientDelay that between
	// callers and routers.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	Routers     int
	Pools       []Pool
	// Templates lists the names of template files in package examples.
	Templates []string
	Services  []Service
	Streams   []Stream
	// Rate is the default number of requests per second.
	Rate float64
}

// ByName returns the shape arbok or acampadas.
func ByName(name string) (*Shape, error) {
	switch name {
	case "arbok":
		return arbok(), nil
	case "acampadas":
		return acampadas(), nil
	}
	return nil, eris.Errorf("--shape is %q: use acampadas or arbok", name)
}

// TemplateText returns the contents of a template file.
func (s *Shape) TemplateText(template string) ([]byte, error) {
	text, err := examples.Files.ReadFile(s.Name + "/" + template + ".yaml")
	return text, eris.Wrapf(err, "read template %s", template)
}

// KeyedServices returns the names of the services that are sharded by key.
func (s *Shape) KeyedServices() []string {
	var names []string
	for _, service := range s.Services {
		if service.Values["shards"] != "" {
			names = append(names, service.Name)
		}
	}
	return names
}

// KeyedShards returns the number of shards of all keyed services and the mean number of keys per shard, by
// the first keyed stream.
func (s *Shape) KeyedShards() (shards int, keysPerShard float64) {
	for _, service := range s.Services {
		count, _ := strconv.Atoi(service.Values["shards"])
		shards += count
	}
	keys := 0
	for i := range s.Streams {
		if s.Streams[i].Keys > 0 {
			keys = s.Streams[i].Keys * len(s.Streams[i].Prefixes)
			break
		}
	}
	return shards, float64(keys) / float64(max(1, shards))
}

// PoolOf returns the pool that serves a path prefix of an unkeyed service. Such a
// service has the same name as its pool.
func (s *Shape) PoolOf(prefix string) string { return strings.TrimPrefix(prefix, "/") }

const (
	shardsPerService = "16"
	keysPerService   = 200
)

func keyedServices(template, parameter string, names ...string) (services []Service, prefixes []string) {
	for _, name := range names {
		services = append(services, Service{
			Name: name + "-" + template, Template: template,
			Values: map[string]string{parameter: name, "shards": shardsPerService},
		})
		prefixes = append(prefixes, fmt.Sprintf("/%s/%s", name, template))
	}
	return services, prefixes
}

func unkeyedService(name string) Service { return Service{Name: name, Template: name} }

func arbok() *Shape {
	services, proofs := keyedServices("proofs", "school", "kopavogur", "akureyri", "selfoss", "husavik")
	return &Shape{
		Name: "arbok", Zones: []string{"rvk-a", "rvk-b", "rvk-c"},
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond, Routers: 3,
		Pools: []Pool{
			{Name: "proofs", Instances: 5, Slots: 18, Connections: 100, ServiceTime: 8 * time.Millisecond},
			{Name: "approval", Instances: 4, Slots: 18, Connections: 100, ServiceTime: 12 * time.Millisecond},
			{Name: "photos", Instances: 3, Slots: 18, Connections: 100, ServiceTime: 15 * time.Millisecond},
			{Name: "orders", Instances: 3, Slots: 18, Connections: 100, ServiceTime: 10 * time.Millisecond},
		},
		Templates: []string{"proofs", "approval", "photos", "orders"},
		Services:  append(services, unkeyedService("approval"), unkeyedService("photos"), unkeyedService("orders")),
		Streams: []Stream{
			{Name: "browse-proofs", Weight: 50, Method: "GET", Prefixes: proofs, Keys: keysPerService, Bytes: 2000, Repeatable: true},
			{Name: "edit-proofs", Weight: 10, Method: "POST", Prefixes: proofs, Keys: keysPerService, Bytes: 200, BodyBytes: 500},
			{Name: "approve", Weight: 10, Method: "POST", Prefixes: []string{"/approval"}, Bytes: 200, BodyBytes: 300},
			{Name: "photo-pack", Weight: 5, Method: "GET", Prefixes: []string{"/photos"}, Bytes: 300_000, Repeatable: true},
			{Name: "pay", Weight: 15, Method: "POST", Prefixes: []string{"/orders"}, Bytes: 200, BodyBytes: 300},
			{Name: "look-up-order", Weight: 10, Method: "GET", Prefixes: []string{"/orders"}, Bytes: 500, Repeatable: true},
		},
		Rate: 300,
	}
}

func acampadas() *Shape {
	services, availability := keyedServices("availability", "coast", "la-paloma", "cabo-polonio", "piriapolis", "jose-ignacio")
	return &Shape{
		Name: "acampadas", Zones: []string{"sala-maldonado", "sala-rocha", "sala-canelones", "sala-montevideo"},
		ZoneDelay: 500 * time.Microsecond, ClientDelay: 8 * time.Millisecond, Routers: 4,
		Pools: []Pool{
			{Name: "availability", Instances: 4, Slots: 18, Connections: 110, ServiceTime: 8 * time.Millisecond},
			{Name: "booking", Instances: 4, Slots: 18, Connections: 110, ServiceTime: 15 * time.Millisecond},
			{Name: "documents", Instances: 4, Slots: 18, Connections: 110, ServiceTime: 6 * time.Millisecond},
			{Name: "refunds", Instances: 4, Slots: 18, Connections: 110, ServiceTime: 15 * time.Millisecond},
		},
		Templates: []string{"availability", "booking", "documents", "refunds"},
		Services:  append(services, unkeyedService("booking"), unkeyedService("documents"), unkeyedService("refunds")),
		Streams: []Stream{
			{Name: "look-up", Weight: 55, Method: "GET", Prefixes: availability, Keys: keysPerService, Bytes: 1000, Repeatable: true},
			{Name: "block-pitch", Weight: 10, Method: "POST", Prefixes: availability, Keys: keysPerService, Bytes: 200, BodyBytes: 300},
			{Name: "deposit", Weight: 15, Method: "POST", Prefixes: []string{"/booking"}, Bytes: 200, BodyBytes: 300},
			{Name: "document", Weight: 10, Method: "GET", Prefixes: []string{"/documents"}, Bytes: 100_000, Repeatable: true},
			{Name: "refund", Weight: 5, Method: "POST", Prefixes: []string{"/refunds"}, Bytes: 200, BodyBytes: 300},
			{Name: "look-up-booking", Weight: 5, Method: "GET", Prefixes: []string{"/booking"}, Bytes: 500, Repeatable: true},
		},
		Rate: 300,
	}
}
