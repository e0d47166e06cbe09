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
	// Limehold and Limebench are the paths of the two binaries.
	Limehold  string
	Limebench string
	// ControlMembers is 1, 3 or 5. Default 3.
	ControlMembers int
	// Settings holds overrides (path=value) for all processes of a role, by role.
	Settings map[string][]string
	// PlatformLag is how long a change takes to appear in the platform's machine list.
	PlatformLag time.Duration
	// NoDelays turns off the shape's network delays.
	NoDelays bool
	// DirectBackendPaths lets routers connect to the back ends directly, without a fault proxy.
	DirectBackendPaths bool
	// ColdStart is the warm-up time of a back end.
	ColdStart time.Duration
	// TemplateSuffix is appended to the text of every service template.
	TemplateSuffix string
}

// Fleet is a running deployment.
type Fleet struct {
	Options  Options
	Platform *platform.List
	Members  []*Member
	Routers  []*Router
	// lastServiceRevision is the highest revision at which Start created a service.
	lastServiceRevision uint64

	// mutex guards nodes, since nodes are added while the deployment runs.
	mutex sync.Mutex
	nodes []*Node
}

// AllNodes returns a copy of the list of nodes.
func (f *Fleet) AllNodes() []*Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.nodes)
}

// Member is a control member with the proxies in front of it.
type Member struct {
	*Process
	Zone string
	// Inbound is the proxy at the advertised address. PeerProxies holds the proxies
	// that the other members dial, by the name of the dialing member.
	Inbound     *faultproxy.Proxy
	PeerProxies map[string]*faultproxy.Proxy
	DataFolder  string
}

// Router is a router process with its proxies.
type Router struct {
	*Process
	Zone string
	// Callers is the proxy that callers dial. Control holds the proxies to the
	// control members, by member name.
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
	// Requests is the proxy between the routers and the back end. Control holds
	// the proxies from the agent to the control members, by member name.
	Requests *faultproxy.Proxy
	Control  map[string]*faultproxy.Proxy
	Records  string
}

// Start starts the deployment, creates the shape's services and waits until it
// can serve. On an error it stops every process that it started.
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
		paths, addresses, err := f.newControlPaths()
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

// StartRouter starts a router's process and points the callers' proxy to it.
func (f *Fleet) StartRouter(router *Router) error {
	if err := router.Start(); err != nil {
		return err
	}
	router.Callers.SetTarget(router.Field("address"))
	return nil
}

// Admin returns a client of the admin interface of all running members.
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
	pollInterval   = 20 * time.Millisecond
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
		body := adminapi.CreateServiceRequest{Name: service.Name, Template: service.Template, Values: service.Values}
		var changed adminapi.ChangeResult
		if err := client.Do(adminapi.Request{Method: http.MethodPost, Path: adminapi.PathServices, Body: body, CommandID: "setup-service-" + service.Name}, &changed); err != nil {
			return err
		}
		f.lastServiceRevision = max(f.lastServiceRevision, changed.Revision)
	}
	return nil
}

// waitServing waits until all nodes and routers are registered, every shard has
// an owner, and every router has the revision of the last service created.
func (f *Fleet) waitServing() error {
	return retryUntil(servingTimeout, func() error {
		var status adminapi.Status
		if err := f.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathStatus}, &status); err != nil {
			return err
		}
		nodes := len(f.AllNodes())
		if len(status.Nodes) < nodes || status.Shards["free"]+status.Shards["releasing"] > 0 {
			return eris.Errorf("%d of %d nodes are registered, shards by state: %v", len(status.Nodes), nodes, status.Shards)
		}
		if len(status.Routers) < len(f.Routers) {
			return eris.Errorf("%d of %d routers are registered", len(status.Routers), len(f.Routers))
		}
		for _, router := range status.Routers {
			if router.Revision < f.lastServiceRevision {
				return eris.Errorf("router %s has revision %d, but the last service was created at revision %d", router.Name, router.Revision, f.lastServiceRevision)
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
		time.Sleep(pollInterval)
	}
}

// Processes returns the processes of all members, routers and nodes.
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

// Stop kills every process that was started and closes the proxies.
func (f *Fleet) Stop() {
	for _, process := range f.Processes() {
		process.Signal(sigCont)
		process.Kill()
	}
	for _, member := range f.Members {
		member.Inbound.Close()
		closeAll(member.PeerProxies)
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
