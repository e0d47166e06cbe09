package ingress

import (
	"net"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/logging"
	"limehold/transport"
)

// maxTunnels bounds the connections that one process relays.
const maxTunnels = 64

// relay connects another process to a control member that only this process can reach. The other
// process keeps its lease that way, and receives updates of the owners.
func (i *Ingress) relay(request *fasthttp.RequestCtx) {
	address := string(request.Host())
	if i.options.RelayTo == nil || !i.options.RelayTo(address) {
		request.Error("this process passes connections on to control members only\n", fasthttp.StatusForbidden)
		return
	}
	if i.tunnels.Add(1) > maxTunnels {
		i.tunnels.Add(-1)
		request.Error("too many connections are passed on already\n", fasthttp.StatusServiceUnavailable)
		return
	}
	target, err := transport.DialTunnel(address)
	if err != nil {
		i.tunnels.Add(-1)
		i.logger.Info("relay_failed", append(logging.ErrorFields("dial for relay", address, err), zap.Stringer("asker", request.RemoteAddr()))...)
		request.Error("the address does not answer\n", fasthttp.StatusBadGateway)
		return
	}
	i.logger.Info("relay_opened", zap.String("peer", address), zap.Stringer("asker", request.RemoteAddr()))
	request.Hijack(func(client net.Conn) {
		defer i.tunnels.Add(-1)
		// The library's own connection ignores a close until the hijacker returns.
		if wrapper, ok := client.(interface{ UnsafeConn() net.Conn }); ok {
			client = wrapper.UnsafeConn()
		}
		transport.Tunnel(client, target)
	})
}
