package router

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/wire"
)

// setUsualRun adds how long runs of requests like this one usually last, by which the ingress measures the pace of its
// instance.
func (p *proxiedRequest) setUsualRun(out *fasthttp.Request) {
	stats := p.stats()
	stats.mutex.Lock()
	usual := stats.usualRun.Time()
	stats.mutex.Unlock()
	if usual <= 0 {
		out.Header.Del(wire.HeaderUsualRun)
		return
	}
	out.Header.Set(wire.HeaderUsualRun, strconv.FormatInt(max(1, usual.Microseconds()), 10))
}

// recordRun records the run time that the ingress reports with an answer.
func (p *proxiedRequest) recordRun(header *fasthttp.ResponseHeader) {
	micros, err := strconv.ParseUint(string(header.Peek(wire.HeaderRun)), 10, 32)
	if err != nil {
		return // missing: the run does not show how fast the instance is
	}
	stats := p.stats()
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	stats.usualRun.Record(time.Duration(micros) * time.Microsecond)
}
