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
	// proveEvery is how often a connection to another member is looked at.
	proveEvery time.Duration
	mutex      sync.Mutex
	links      map[consensus.MemberID]*peerLink
	// incoming holds the newest connection that each member has opened. A
	// member that has no configuration yet answers the leader over it.
	incoming map[consensus.MemberID]*transport.Conn
	ctx      context.Context
}

type peerLink struct {
	*transport.Link
	member consensus.Member
	cancel context.CancelFunc
}

func newPeers(own consensus.MemberID, overrides map[string]string, proveEvery time.Duration, handler transport.Handler, options transport.Options) *peers {
	return &peers{own: own, options: options, handler: handler, overrides: overrides, proveEvery: proveEvery, links: map[consensus.MemberID]*peerLink{}, incoming: map[consensus.MemberID]*transport.Conn{}}
}

// start lets links be dialed until ctx ends.
func (p *peers) start(ctx context.Context) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ctx = ctx
}

// address is where this process reaches a member.
func (p *peers) address(member consensus.Member) string {
	if override, set := p.overrides[member.Name]; set {
		return override
	}
	return member.Address
}

// update dials new members and drops those that are gone.
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
	// Each member hears another one over the connection that the other has opened: whether its own still
	// leads there shows in nothing that the group's protocol sends on it.
	options := p.options
	options.ProveEvery = p.proveEvery
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
		// A frame that cannot be queued is lost, as the protocol allows.
		_ = conn.SendEncoded(wire.KindConsensus, codec.MustMarshal(&messages[i]))
	}
}

// conn is the link to a member, or else the connection that it has opened.
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

// heard notes the connection over which a member has sent a message.
func (p *peers) heard(conn *transport.Conn) {
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
