package experiment

import (
	"fmt"
	"path"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"limehold/bench/fleet"
	"limehold/bench/judge"
	"limehold/bench/load"
	"limehold/bench/shape"
)

const (
	// deadlyEvery is the pause between two comings of a deadly request.
	deadlyEvery = 150 * time.Millisecond
	// reviveAfter is when a back end that has ended is started again.
	reviveAfter = time.Second
	reviveLook  = 50 * time.Millisecond
)

// sendDeadly has one and the same request come again and again, at changing routers, under
// which back ends end. The target is the stream that it is of; empty: the one that is also sent
// straight to back ends.
func sendDeadly(r *run, fault Fault) (string, error) {
	stream, err := r.streamNamed(fault.Target)
	if err != nil {
		return fault.Target, err
	}
	prefix := judge.DeadlyPrefix + stream.Name + "-"
	stop := make(chan struct{})
	var reviving sync.WaitGroup
	ended := 0
	reviving.Go(func() { ended = r.revive(stream, stop) })
	for turn, until := 0, time.Now().Add(fault.For); time.Now().Before(until); turn++ {
		router := r.fleet.Routers[turn%len(r.fleet.Routers)]
		target := load.Target{Name: router.Name, Dial: router.Callers.Dial}
		go load.SendDeadly(target, stream, fmt.Sprint(prefix, turn))
		time.Sleep(deadlyEvery)
	}
	close(stop)
	reviving.Wait()
	if ended == 0 {
		return stream.Name, eris.New("no back end has ended under it")
	}
	return stream.Name, nil
}

func (r *run) streamNamed(name string) (*shape.Stream, error) {
	if name == "" {
		return r.directStream(), nil
	}
	for i := range r.options.Shape.Streams {
		if r.options.Shape.Streams[i].Name == name {
			return &r.options.Shape.Streams[i], nil
		}
	}
	return nil, eris.Errorf("target is %q: name a stream of shape %s", name, r.options.Shape.Name)
}

// revive starts back ends again that have ended, until it is stopped and all are up. It returns
// how often one had ended.
func (r *run) revive(stream *shape.Stream, stop <-chan struct{}) (ended int) {
	var starting sync.WaitGroup
	defer starting.Wait()
	down := map[*fleet.Node]bool{}
	var mutex sync.Mutex
	for stopped := false; !stopped; {
		select {
		case <-stop:
			stopped = true
		case <-time.After(reviveLook):
		}
		for _, node := range r.fleet.NodesOf(path.Base(stream.Prefixes[0])) {
			mutex.Lock()
			gone := node.Backend.PID() == 0 && !down[node]
			if gone {
				down[node] = true
				ended++
			}
			mutex.Unlock()
			if !gone {
				continue
			}
			r.loseNode(node)
			starting.Go(func() {
				time.Sleep(reviveAfter)
				mutex.Lock()
				defer mutex.Unlock()
				if err := r.fleet.StartBackend(node); err == nil {
					down[node] = false
				}
			})
		}
	}
	return ended
}
