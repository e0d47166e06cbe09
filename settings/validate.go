package settings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"limehold/catalog"
)

// Role is the kind of a process and selects the sections that Validate checks.
type Role string

const (
	RoleControl    Role = "control"
	RoleRouter     Role = "router"
	RoleAgent      Role = "agent"
	RoleStandalone Role = "standalone"
	// RoleSidecar runs a router, an agent and an ingress next to one instance.
	RoleSidecar Role = "sidecar"
)

// problem returns an error with a setting's path, its value and what is allowed.
func problem(path string, value any, want string) error {
	return fmt.Errorf("setting %s is %q: %s", path, fmt.Sprint(value), want)
}

// Validate checks the settings that the role needs and returns all problems joined. For a sidecar
// it also sets Agent.Backend to Ingress.Instance.
func (s *Settings) Validate(role Role) error {
	problems := s.validateCommon()
	switch role {
	case RoleControl:
		problems = append(problems, s.validateControl()...)
	case RoleRouter:
		problems = append(problems, s.validateRouter()...)
	case RoleAgent:
		problems = append(problems, s.validateAgent()...)
	case RoleSidecar:
		problems = append(problems, s.validateSidecar()...)
	case RoleStandalone:
	default:
		problems = append(problems, problem("role", role, "use control, router, agent, sidecar or standalone"))
	}
	return errors.Join(problems...)
}

type problemList []error

func (l *problemList) require(ok bool, path string, value any, want string) {
	if !ok {
		*l = append(*l, problem(path, value, want))
	}
}

func (l *problemList) requireAddress(path, value string, allowPortZero bool) {
	if err := checkAddress(value, allowPortZero); err != nil {
		*l = append(*l, problem(path, value, err.Error()))
	}
}

// checkAddress requires an IP address and a port. Host names are rejected because
// the resolver may be down while the fleet recovers from a failure.
func checkAddress(address string, allowPortZero bool) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.New("use IP:port, for example 10.1.2.3:7000")
	}
	if net.ParseIP(host) == nil {
		return errors.New("use an IP number in place of the host name")
	}
	number, err := strconv.Atoi(port)
	if err != nil || number < 0 || number > 65535 || number == 0 && !allowPortZero {
		return errors.New("use a port from 1 to 65535")
	}
	return nil
}

func (s *Settings) validateCommon() problemList {
	var problems problemList
	problems.require(catalog.ValidName(s.Cluster), "cluster", s.Cluster, "use lower-case letters, digits and hyphens")
	problems.require(catalog.ValidName(s.Name), "name", s.Name, "use 1 to 63 lower-case letters, digits and hyphens")
	seen := map[string]bool{}
	for i, zone := range s.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		problems.require(catalog.ValidName(zone), path, zone, "use lower-case letters, digits and hyphens")
		problems.require(!seen[zone], path, zone, "list each zone once")
		seen[zone] = true
	}
	if s.Zone != "" && len(s.Zones) > 0 {
		problems.require(slices.Contains(s.Zones, s.Zone), "zone", s.Zone, "use one of the zones: "+strings.Join(s.Zones, ", "))
	}
	problems.require(slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level), "log.level", s.Log.Level, "use debug, info, warn or error")
	problems.requireAddress("admin.listen", s.Admin.Listen, true)
	problems.require(s.Router.RetrySlack >= 0, "router.retry_slack", s.Router.RetrySlack, "use 0 or more")
	problems.require(!s.Router.AdvisedRetryAfter || s.Router.FractionalRetryAfter, "router.advised_retry_after", s.Router.AdvisedRetryAfter, "set router.fractional_retry_after too: whole seconds are longer than most delays that ingresses advise")
	problems.require(s.Router.RetryRatio >= 0, "router.retry_ratio", s.Router.RetryRatio, "use 0 or more")
	problems.require(s.Quota.Window > 0, "quota.window", s.Quota.Window, "use more than 0s")
	problems.require(s.Quota.Overage >= 0, "quota.overage", s.Quota.Overage, "use 0 or more")
	problems.require(s.Quota.Slack >= 0, "quota.slack", s.Quota.Slack, "use 0 or more")
	problems.require(s.Quota.Overage > 0 || s.Quota.Slack > 0, "quota", "0 overage and 0 slack", "allow some of either: tokens are on their way for a while")
	anySet := s.TLS.Certificate != "" || s.TLS.Key != "" || s.TLS.Authorities != ""
	allSet := s.TLS.Certificate != "" && s.TLS.Key != "" && s.TLS.Authorities != ""
	problems.require(!anySet || allSet, "tls", "incomplete", "give certificate, key and authorities together, or none of them")
	return problems
}

func (s *Settings) validateControl() problemList {
	var problems problemList
	problems.require(s.DataFolder != "", "data_folder", s.DataFolder, "name a folder on a disk that survives restarts")
	problems.requireAddress("control.listen", s.Control.Listen, true)
	if s.Control.Advertise != "" {
		problems.requireAddress("control.advertise", s.Control.Advertise, false)
	}
	problems = append(problems, s.validateMembers()...)
	timing := s.Control.Timing
	problems.require(timing.Heartbeat > 0, "control.timing.heartbeat", timing.Heartbeat, "use more than 0s")
	problems.require(timing.ElectionMin >= 3*timing.Heartbeat, "control.timing.election_min", timing.ElectionMin, "use at least three heartbeats")
	problems.require(timing.ElectionMax > timing.ElectionMin, "control.timing.election_max", timing.ElectionMax, "use more than control.timing.election_min")
	problems.require(timing.DriftPermille >= 0 && timing.DriftPermille <= 100, "control.timing.drift_permille", timing.DriftPermille, "use 0 to 100")
	problems.require(s.Control.RenewEvery > 0, "control.renew_every", s.Control.RenewEvery, "use more than 0s")
	problems.require(s.Control.LeaseLength >= 3*s.Control.RenewEvery, "control.lease_length", s.Control.LeaseLength, "use at least three times control.renew_every")
	problems.require(s.Control.PlaceEvery > 0, "control.place_every", s.Control.PlaceEvery, "use more than 0s")
	problems.require(s.Control.SnapshotEvery >= 10, "control.snapshot_every", s.Control.SnapshotEvery, "use at least 10")
	problems.require(s.Control.SegmentBytes >= 4096, "control.segment_bytes", s.Control.SegmentBytes, "use at least 4096")
	problems.require(s.Control.PlatformEvery >= 10*time.Millisecond, "control.platform_every", s.Control.PlatformEvery, "use at least 10ms")
	problems.require(slices.Contains([]string{PlacementWeighted, PlacementHash, PlacementGreedy}, s.Control.Placement), "control.placement", s.Control.Placement, "use weighted, hash or greedy")
	problems.require(s.Control.LoadHalfLife > 0, "control.load_half_life", s.Control.LoadHalfLife, "use more than 0s")
	problems.require(s.Control.ToleratedLosses >= 0, "control.tolerated_losses", s.Control.ToleratedLosses, "use 0 or more")
	problems.require(s.Control.Voters >= 0, "control.voters", s.Control.Voters, "use 0 or more")
	problems.require(s.Control.ReplaceAfter >= time.Second, "control.replace_after", s.Control.ReplaceAfter, "use at least 1s")
	problems.require(len(s.Control.Seeds) == 0 || len(s.Control.Members) == 0, "control.seeds", s.Control.Seeds, "give control.members or control.seeds, not both")
	problems.requireGrantDelay("control.max_grant_delay", s.Control.MaxGrantDelay)
	for i, seed := range s.Control.Seeds {
		problems.requireAddress(fmt.Sprintf("control.seeds[%d]", i), seed, false)
	}
	return problems
}

// maxHeartbeatWait leaves 200ms for transmission: instances accept the answer to a
// heartbeat within 1s.
const maxHeartbeatWait = 800 * time.Millisecond

func (s *Settings) validateSidecar() problemList {
	s.Agent.Backend = s.Ingress.Instance
	problems := append(s.validateRouter(), s.validateAgent()...)
	problems.requireAddress("ingress.listen", s.Ingress.Listen, true)
	problems.requireAddress("ingress.instance", s.Ingress.Instance, false)
	if s.Ingress.Readiness != "" {
		problems.requireAddress("ingress.readiness", s.Ingress.Readiness, true)
	}
	problems.require(s.Ingress.QueueTime > 0 && s.Ingress.QueueTime <= 1, "ingress.queue_time", s.Ingress.QueueTime, "use a share above 0 and up to 1")
	problems.require(s.Ingress.SlotShare > 0 && s.Ingress.SlotShare <= 1, "ingress.slot_share", s.Ingress.SlotShare, "use a share above 0 and up to 1")
	problems.require(s.Ingress.AnnounceEvery >= 10*time.Millisecond, "ingress.announce_every", s.Ingress.AnnounceEvery, "use at least 10ms")
	problems.require(s.Ingress.DrainTime >= 0, "ingress.drain_time", s.Ingress.DrainTime, "use 0s or more")
	problems.require(s.Ingress.HoldTime >= time.Second, "ingress.hold_time", s.Ingress.HoldTime, "use at least 1s")
	problems.requireGrantDelay("ingress.max_grant_delay", s.Ingress.MaxGrantDelay)
	problems.require(slices.Contains([]string{GrantByCall, GrantByHeartbeat}, s.Ingress.GrantBy), "ingress.grant_by", s.Ingress.GrantBy, "use call or heartbeat")
	problems.require(s.Ingress.HeartbeatWait >= 0 && s.Ingress.HeartbeatWait <= maxHeartbeatWait, "ingress.heartbeat_wait", s.Ingress.HeartbeatWait, "use 0s to 800ms: instances do not accept an answer later than 1s")
	problems.require(s.Ingress.StopNotice >= 0 && s.Ingress.StopNotice <= s.Ingress.StopTime, "ingress.stop_notice", s.Ingress.StopNotice, "use 0s up to ingress.stop_time")
	problems.require(s.Ingress.StopTime >= 0, "ingress.stop_time", s.Ingress.StopTime, "use 0s or more")
	return problems
}

func (s *Settings) validateMembers() problemList {
	var problems problemList
	seen := map[string]bool{}
	listed := s.Control.Join
	for i, member := range s.Control.Members {
		path := fmt.Sprintf("control.members[%d]", i)
		problems.require(catalog.ValidName(member.Name), path+".name", member.Name, "use lower-case letters, digits and hyphens")
		problems.require(!seen[member.Name], path+".name", member.Name, "list each member once")
		problems.requireAddress(path+".address", member.Address, false)
		seen[member.Name] = true
		listed = listed || member.Name == s.Name
	}
	if len(s.Control.Members) > 0 {
		problems.require(listed, "control.members", s.Name, "list this member too, or set control.join: true")
	}
	return problems
}

func (s *Settings) validateControlAddresses(path string, addresses []string) problemList {
	var problems problemList
	problems.require(len(addresses) > 0, path, "", "list the addresses of the control members")
	for i, address := range addresses {
		problems.requireAddress(fmt.Sprintf("%s[%d]", path, i), address, false)
	}
	return problems
}

func (s *Settings) validateRouter() problemList {
	problems := s.validateControlAddresses("router.control", s.Router.Control)
	problems.require(catalog.ValidName(s.Zone), "zone", s.Zone, "name the zone in which this process runs")
	problems.requireAddress("router.listen", s.Router.Listen, true)
	problems.require(s.Router.ConfirmEvery >= 10*time.Millisecond, "router.confirm_every", s.Router.ConfirmEvery, "use at least 10ms")
	problems.require(s.Router.MaxHeaderBytes >= 1024, "router.max_header_bytes", s.Router.MaxHeaderBytes, "use at least 1024")
	problems.require(s.Router.MaxConnections >= 1, "router.max_connections", s.Router.MaxConnections, "use at least 1")
	problems.require(s.Router.CloseNotice >= 0 && s.Router.CloseNotice < s.Router.DrainTimeout, "router.close_notice", s.Router.CloseNotice, "use less than router.drain_timeout")
	problems.require(slices.Contains([]string{BalanceOwnObservation, BalanceRoundRobin}, s.Router.Balance), "router.balance", s.Router.Balance, "use own_observation or round_robin")
	problems.require(slices.Contains([]string{LimitsAdaptive, LimitsFixed}, s.Router.Limits), "router.limits", s.Router.Limits, "use adaptive or fixed")
	problems.require((s.Router.Certificate == "") == (s.Router.Key == ""), "router.certificate", s.Router.Certificate, "give certificate and key together, or neither")
	return problems
}

func (s *Settings) validateAgent() problemList {
	problems := s.validateControlAddresses("agent.control", s.Agent.Control)
	problems.require(catalog.ValidName(s.Zone), "zone", s.Zone, "name the zone in which this process runs")
	problems.requireAddress("agent.backend", s.Agent.Backend, false)
	if s.Agent.Advertise != "" {
		problems.requireAddress("agent.advertise", s.Agent.Advertise, false)
	}
	problems.require(catalog.ValidName(s.Agent.Pool), "agent.pool", s.Agent.Pool, "use lower-case letters, digits and hyphens")
	problems.require(s.Agent.Slots >= 1, "agent.slots", s.Agent.Slots, "use at least 1")
	problems.require(s.Agent.Connections >= 1, "agent.connections", s.Agent.Connections, "use at least 1")
	problems.require(s.Agent.StopMode == StopDrain || s.Agent.StopMode == StopRestart, "agent.stop_mode", s.Agent.StopMode, "use drain or restart")
	problems.require(s.Agent.ProbeEvery >= 10*time.Millisecond, "agent.probe_every", s.Agent.ProbeEvery, "use at least 10ms")
	return problems
}

// Bounds of a max_grant_delay other than 0.
const (
	minGrantDelay = time.Second
	maxGrantDelay = time.Hour
)

func (l *problemList) requireGrantDelay(field string, delay time.Duration) {
	ok := delay == 0 || delay >= minGrantDelay && delay <= maxGrantDelay
	l.require(ok, field, delay, fmt.Sprintf("use %v to %v, or 0s for no limit", minGrantDelay, maxGrantDelay))
}
