package fleet

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"limehold/adminapi"
	"limehold/bench/faultproxy"
	"limehold/bench/platform"
	"limehold/bench/shape"
)

// Options configures a deployment.
type Options struct {
	Shape *shape.Shape
	// Folder for data, logs and records; it must be empty.
	Folder string
	// Limehold and Limebench are the two programs.
	Limehold  string
	Limebench string
	// ControlMembers is 1, 3 or 5. Default 3.
	ControlMembers int
	// Settings are overrides (path=value) for processes of a role.
	Settings map[string][]string
	// PlatformLag delays the machine list.
	PlatformLag time.Duration
	// NoDelays leaves out the shape's network delays.
	NoDelays bool
	// PlainPaths has routers reach the back ends without a proxy in between.
	PlainPaths bool
	// ColdStart of back ends.
	ColdStart time.Duration
	// TemplateSuffix is added to every template file.
	TemplateSuffix string
}

// Fleet is a running deployment.
type Fleet struct {
	Options  Options
	Platform *platform.List
	Members  []*Member
	Routers  []*Router
	// created is the revision of the last service that was created at the start.
	created uint64

	// mutex guards nodes: some are added while the deployment runs.
	mutex sync.Mutex
	nodes []*Node
}

// AllNodes lists the back ends with their agents.
func (f *Fleet) AllNodes() []*Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.nodes)
}

// Member is a control member with the paths to it.
type Member struct {
	*Process
	Zone string
	// Into is the proxy behind the advertised address; FromMember holds the
	// paths from the other members, by name.
	Into       *faultproxy.Proxy
	FromMember map[string]*faultproxy.Proxy
	Data       string
}

// Router is a router with the path from its callers.
type Router struct {
	*Process
	Zone string
	// Callers is the path from the callers; Control the paths to the members.
	Callers *faultproxy.Proxy
	Control map[string]*faultproxy.Proxy
}

// Node is a back end with its agent.
type Node struct {
	Name    string
	Zone    string
	Pool    shape.Pool
	Backend *Process
	Agent   *Process
	// Requests is the path from the routers; Control the paths from the agent
	// to the members.
	Requests *faultproxy.Proxy
	Control  map[string]*faultproxy.Proxy
	Records  string
}

// Start brings the deployment up and creates the shape's services. Whatever was
// started is ended again when an error is returned.
func Start(options Options) (*Fleet, error) {
	if options.ControlMembers == 0 {
		options.ControlMembers = 3
	}
	const mode = 0o750
	for _, folder := range []string{"logs", "data", "records"} {
		if err := os.MkdirAll(filepath.Join(options.Folder, folder), mode); err != nil {
			return nil, eris.Wrap(err, "create run folder")
		}
	}
	f := &Fleet{Options: options}
	steps := []func() error{f.startPlatform, f.startControl, f.startNodes, f.startRouters, f.createServices, f.waitServing}
	for _, step := range steps {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform() error {
	list, err := platform.New(f.Options.PlatformLag)
	f.Platform = list
	return err
}

func (f *Fleet) zone(number int) string {
	return f.Options.Shape.Zones[number%len(f.Options.Shape.Zones)]
}

func (f *Fleet) zoneDelay() time.Duration {
	if f.Options.NoDelays {
		return 0
	}
	return f.Options.Shape.ZoneDelay
}

func (f *Fleet) settings(role string, pairs ...string) []string {
	arguments := []string{role, "--set", "cluster=" + f.Options.Shape.Name}
	for _, pair := range append(pairs, f.Options.Settings[role]...) {
		arguments = append(arguments, "--set", pair)
	}
	return arguments
}

func (f *Fleet) startRouters() error {
	delay := f.Options.Shape.ClientDelay
	if f.Options.NoDelays {
		delay = 0
	}
	for i := range f.Options.Shape.Routers {
		name := fmt.Sprintf("router-%d", i+1)
		callers, err := faultproxy.New(delay)
		if err != nil {
			return err
		}
		paths, addresses, err := f.controlPaths()
		if err != nil {
			return err
		}
		zone := f.zone(i)
		router := &Router{Zone: zone, Callers: callers, Control: paths}
		router.Process = newProcess(name, "router", f.Options.Limehold, logPath(f.Options.Folder, name),
			f.settings("router", "name="+name, "zone="+zone, "router.control="+addresses))
		f.Routers = append(f.Routers, router)
		if err := f.StartRouter(router); err != nil {
			return err
		}
	}
	return nil
}

// StartRouter starts a router's process and points the callers' path to it.
func (f *Fleet) StartRouter(router *Router) error {
	if err := router.Start(); err != nil {
		return err
	}
	router.Callers.SetTarget(router.Field("address"))
	return nil
}

// Admin returns a client for the operators' interface of all running members.
func (f *Fleet) Admin() *adminapi.Client {
	var addresses []string
	for _, member := range f.Members {
		if member.PID() != 0 {
			addresses = append(addresses, member.Field("admin"))
		}
	}
	return adminapi.NewClient(addresses, "", adminTimeout)
}

const (
	adminTimeout   = 10 * time.Second
	servingTimeout = 30 * time.Second
	pollEvery      = 20 * time.Millisecond
)

func (f *Fleet) createServices() error {
	client := f.Admin()
	for _, name := range f.Options.Shape.Templates {
		text, err := f.Options.Shape.TemplateText(name)
		if err != nil {
			return err
		}
		text = append(text, f.Options.TemplateSuffix...)
		if err := retryUntil(servingTimeout, func() error {
			return client.Do(adminapi.Request{Method: http.MethodPost, Path: adminapi.PathTemplates, Body: text, CommandID: "setup-template-" + name}, nil)
		}); err != nil {
			return err
		}
	}
	for _, service := range f.Options.Shape.Services {
		body := adminapi.CreateService{Name: service.Name, Template: service.Template, Values: service.Values}
		var changed adminapi.Changed
		if err := client.Do(adminapi.Request{Method: http.MethodPost, Path: adminapi.PathServices, Body: body, CommandID: "setup-service-" + service.Name}, &changed); err != nil {
			return err
		}
		f.created = max(f.created, changed.Revision)
	}
	return nil
}

// waitServing waits until all nodes are there, every shard has an owner, and
// every router knows every service.
func (f *Fleet) waitServing() error {
	return retryUntil(servingTimeout, func() error {
		var status adminapi.Status
		if err := f.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathStatus}, &status); err != nil {
			return err
		}
		nodes := len(f.AllNodes())
		if len(status.Nodes) < nodes || status.Shards["free"]+status.Shards["releasing"] > 0 {
			return eris.Errorf("%d of %d nodes are there, %v shards", len(status.Nodes), nodes, status.Shards)
		}
		if len(status.Routers) < len(f.Routers) {
			return eris.Errorf("%d of %d routers are there", len(status.Routers), len(f.Routers))
		}
		for _, router := range status.Routers {
			if router.Revision < f.created {
				return eris.Errorf("%s has revision %d, the last service was created at %d", router.Name, router.Revision, f.created)
			}
		}
		return nil
	})
}

func retryUntil(limit time.Duration, try func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollEvery)
	}
}

// Processes lists all processes.
func (f *Fleet) Processes() []*Process {
	var list []*Process
	for _, member := range f.Members {
		list = append(list, member.Process)
	}
	for _, router := range f.Routers {
		list = append(list, router.Process)
	}
	for _, node := range f.AllNodes() {
		for _, process := range []*Process{node.Agent, node.Backend} {
			if process != nil {
				list = append(list, process)
			}
		}
	}
	return list
}

// Stop ends every process that was started, and the proxies.
func (f *Fleet) Stop() {
	for _, process := range f.Processes() {
		process.Signal(sigCont)
		process.Kill()
	}
	for _, member := range f.Members {
		member.Into.Close()
		closeAll(member.FromMember)
	}
	for _, router := range f.Routers {
		router.Callers.Close()
		closeAll(router.Control)
	}
	for _, node := range f.AllNodes() {
		node.Requests.Close()
		closeAll(node.Control)
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}

func closeAll(paths map[string]*faultproxy.Proxy) {
	for _, path := range paths {
		path.Close()
	}
}
