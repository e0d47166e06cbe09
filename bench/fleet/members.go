package fleet

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"

	"limehold/adminapi"
	"limehold/bench/faultproxy"
)

func (f *Fleet) startControl() error {
	for i := range f.Options.ControlMembers {
		member, err := f.prepareMember(i)
		if err != nil {
			return err
		}
		f.Members = append(f.Members, member)
	}
	for _, member := range f.Members {
		if err := f.connectMembers(member); err != nil {
			return err
		}
		f.Platform.Set(member.Name, "live")
	}
	for _, member := range f.Members {
		member.Process = f.memberProcess(member)
		if err := f.StartMember(member); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) prepareMember(number int) (*Member, error) {
	name := fmt.Sprintf("control-%d", number+1)
	into, err := faultproxy.New(f.zoneDelay())
	if err != nil {
		return nil, err
	}
	return &Member{
		Process: &Process{Name: name, Role: "control"}, Zone: f.zone(number), Inbound: into,
		PeerProxies: map[string]*faultproxy.Proxy{}, DataFolder: filepath.Join(f.Options.Folder, "data", name),
	}, nil
}

// connectMembers creates one proxy to member for each other member.
func (f *Fleet) connectMembers(member *Member) error {
	for _, other := range f.Members {
		if other == member {
			continue
		}
		path, err := faultproxy.New(f.zoneDelay())
		if err != nil {
			return err
		}
		member.PeerProxies[other.Name] = path
	}
	return nil
}

func (f *Fleet) memberProcess(member *Member) *Process {
	var members, overrides []string
	for _, other := range f.Members {
		members = append(members, fmt.Sprintf("{name: %s, address: %q}", other.Name, other.Inbound.Address()))
		if path := other.PeerProxies[member.Name]; path != nil {
			overrides = append(overrides, fmt.Sprintf("%s: %q", other.Name, path.Address()))
		}
	}
	arguments := f.settings("control",
		"name="+member.Name, "zone="+member.Zone, "data_folder="+member.DataFolder,
		"control.advertise="+member.Inbound.Address(),
		"control.members=["+strings.Join(members, ", ")+"]",
		"control.dial_overrides={"+strings.Join(overrides, ", ")+"}",
		"control.platform_url="+f.Platform.URL())
	return newProcess(member.Name, "control", f.Options.Limehold, logPath(f.Options.Folder, member.Name), arguments)
}

// StartMember starts a member's process and points all proxies for it to the
// address at which it listens.
func (f *Fleet) StartMember(member *Member) error {
	if err := member.Start(); err != nil {
		return err
	}
	address := member.Field("address")
	member.Inbound.SetTarget(address)
	for _, path := range member.PeerProxies {
		path.SetTarget(address)
	}
	for _, node := range f.AllNodes() {
		if path := node.Control[member.Name]; path != nil {
			path.SetTarget(address)
		}
	}
	for _, router := range f.Routers {
		if path := router.Control[member.Name]; path != nil {
			path.SetTarget(address)
		}
	}
	return nil
}

// newControlPaths creates a proxy to each member. It returns the proxies by member
// name, and their addresses as the value of a control setting.
func (f *Fleet) newControlPaths() (map[string]*faultproxy.Proxy, string, error) {
	paths := map[string]*faultproxy.Proxy{}
	var addresses []string
	for _, member := range f.Members {
		path, err := faultproxy.New(f.zoneDelay())
		if err != nil {
			return nil, "", err
		}
		path.SetTarget(member.Field("address"))
		paths[member.Name] = path
		addresses = append(addresses, path.Address())
	}
	return paths, strings.Join(addresses, ","), nil
}

// Leader returns the current leader, or nil if there is none or it can't be determined.
func (f *Fleet) Leader() *Member {
	var status adminapi.Status
	if f.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathStatus}, &status) != nil {
		return nil
	}
	for _, member := range f.Members {
		if member.Name == status.Leader {
			return member
		}
	}
	return nil
}
