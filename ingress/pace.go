package ingress

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pace is how long work takes at the instance, relative to what is usual there: 1 as
// usual, 2 twice as long. Instances share their machines with others, and differ by up to
// three times for as long as they run; besides, pace flickers several times a second.
type pace struct {
	mutex sync.Mutex
	// smoothed over paceTime, and when that was taken in last.
	smoothed float64
	taken    time.Duration
}

const (
	// paceTime smooths the pace: much longer than it flickers, so that keys do not follow
	// that, and shorter than it takes an operator to see that a machine has turned slow.
	paceTime = 3 * time.Second
	// usualPace is the figure that instances give for it, in the field paceField of
	// paceFields.
	usualPace  = 100
	paceField  = 3
	paceFields = 4
	// slowestPace and fastestPace bound what is believed.
	slowestPace = 20.0
	fastestPace = 0.05
)

// observe takes an instance's word on its load; one without a pace says nothing.
func (p *pace) observe(load []byte, now time.Duration) {
	if len(load) == 0 {
		return
	}
	fields := strings.Split(string(load), ",")
	if len(fields) < paceFields {
		return
	}
	figure, err := strconv.ParseFloat(strings.TrimSpace(fields[paceField]), 64)
	if err != nil || figure <= 0 {
		return
	}
	figure = min(slowestPace, max(fastestPace, figure/usualPace))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.smoothed == 0 {
		p.smoothed, p.taken = figure, now
		return
	}
	keep := math.Exp(-float64(now-p.taken) / float64(paceTime))
	p.smoothed, p.taken = p.smoothed*keep+figure*(1-keep), now
}

// speed is how much work the instance does, relative to what is usual.
func (p *pace) speed() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.smoothed == 0 {
		return 1
	}
	return 1 / p.smoothed
}

// forget is for another start of the instance.
func (p *pace) forget() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.smoothed = 0
}
