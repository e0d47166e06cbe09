package settings

import (
	"net"
	"strconv"
)

// Complete derives unset values from other settings: the number of voters from
// ToleratedLosses, and the control addresses from Discovery.
func (s *Settings) Complete() {
	if s.Control.Voters == 0 && s.Control.ToleratedLosses > 0 {
		s.Control.Voters = 2*s.Control.ToleratedLosses + 1
	}
	addresses := s.Discovery.addresses()
	if len(addresses) == 0 {
		return
	}
	if len(s.Control.Members) == 0 && len(s.Control.Seeds) == 0 {
		s.Control.Seeds = addresses
	}
	if len(s.Router.Control) == 0 {
		s.Router.Control = addresses
	}
	if len(s.Agent.Control) == 0 {
		s.Agent.Control = addresses
	}
}

func (d Discovery) addresses() []string {
	var list []string
	for _, seed := range d.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil || d.Port == 0 {
			// Keep an invalid address unchanged, so that Validate reports it.
			list = append(list, seed)
			continue
		}
		list = append(list, net.JoinHostPort(host, strconv.Itoa(d.Port)))
	}
	return list
}
