package control

import (
	"context"
	"sync"
	"time"

	"limehold/codec"
	"limehold/consensus"
	"limehold/transport"
	"limehold/wire"
)

// peers keeps one outgoing link to each other member.
type peers struct {
	own       consensus.MemberID
	options   transport.Options
	handler   transport.Handler
	overrides map[string]string
	// probeInterval is the interval at which links to other members are probed for silent failures.
	probeInterval time.Duration
	mutex         sync.Mutex
	links         map[consensus.MemberID]*peerLink
	// incoming holds the newest connection that each member has opened. It is used to
	// answer a leader to which this member has no link, as before it has a configuration.
	incoming map[consensus.MemberID]*transport.Conn
	ctx      context.Context
}

type peerLink struct {
	*transport.Link
	member consensus.Member
	cancel context.CancelFunc
}

func newPeers(own consensus.MemberID, overrides map[string]string, probeInterval time.Duration, handler transport.Handler, options transport.Options) *peers {
	return &peers{own: own, options: options, handler: handler, overrides: overrides, probeInterval: probeInterval, links: map[consensus.MemberID]*peerLink{}, incoming: map[consensus.MemberID]*transport.Conn{}}
}

// start allows links to be dialed until ctx ends.
func (p *peers) start(ctx context.Context) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ctx = ctx
}

// address returns the address at which this process reaches a member.
func (p *peers) address(member consensus.Member) string {
	if override, set := p.overrides[member.Name]; set {
		return override
	}
	return member.Address
}

// update dials new members and closes the links to members that were removed.
func (p *peers) update(configuration consensus.Configuration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ctx == nil || p.ctx.Err() != nil {
		return
	}
	for id, link := range p.links {
		member, found := configuration.Find(id)
		if !found || p.address(member) != p.address(link.member) {
			link.cancel()
			delete(p.links, id)
		}
	}
	for _, member := range configuration.Members {
		if member.ID != p.own && p.links[member.ID] == nil {
			p.links[member.ID] = p.dial(member)
		}
	}
}

func (p *peers) dial(member consensus.Member) *peerLink {
	ctx, cancel := context.WithCancel(p.ctx)
	// Each member receives messages over the connection that the other one has opened, so
	// consensus traffic does not show whether its own outgoing connection still works.
	options := p.options
	options.ProbeInterval = p.probeInterval
	link := transport.NewLink(p.address(member), p.handler, options)
	go link.Run(ctx)
	return &peerLink{Link: link, member: member, cancel: cancel}
}

// send implements replica.send.
func (p *peers) send(messages []consensus.Message) {
	for i := range messages {
		conn := p.conn(messages[i].To)
		if conn == nil {
			continue
		}
		// A message that cannot be queued is dropped, which the protocol tolerates.
		_ = conn.SendEncoded(wire.KindConsensus, codec.MustMarshal(&messages[i]))
	}
}

// conn returns the outgoing connection to a member or, if there is none, the one that
// the member has opened. It returns nil if there is neither.
func (p *peers) conn(id consensus.MemberID) *transport.Conn {
	if link := p.link(id); link != nil {
		if conn := link.Conn(); conn != nil {
			return conn
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.incoming[id]
}

// recordIncoming records the connection over which a member has sent a message.
func (p *peers) recordIncoming(conn *transport.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.incoming[conn.Peer.Member] = conn
}

func (p *peers) link(id consensus.MemberID) *peerLink {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.links[id]
}

// all lists the links to the other members.
func (p *peers) all() []*peerLink {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]*peerLink, 0, len(p.links))
	for _, link := range p.links {
		list = append(list, link)
	}
	return list
}
