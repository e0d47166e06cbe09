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
	// crashingInterval is the pause between two crashing requests.
	crashingInterval = 150 * time.Millisecond
	// restartDelay is how long after a crash a back end is started again.
	restartDelay      = time.Second
	crashPollInterval = 50 * time.Millisecond
)

// sendCrashing repeatedly sends a request that crashes the back end that runs it, to
// the routers in turn. The target is the name of the request's stream; if it is
// empty, the stream is that of directStream.
func sendCrashing(r *run, fault Fault) (string, error) {
	stream, err := r.streamNamed(fault.Target)
	if err != nil {
		return fault.Target, err
	}
	prefix := judge.CrashingRequestPrefix + stream.Name + "-"
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	crashes := 0
	restarts.Go(func() { crashes = r.restartCrashed(stream, stop) })
	for turn, until := 0, time.Now().Add(fault.For); time.Now().Before(until); turn++ {
		router := r.fleet.Routers[turn%len(r.fleet.Routers)]
		target := load.Target{Name: router.Name, Dial: router.Callers.Dial}
		go load.SendCrashing(target, stream, fmt.Sprint(prefix, turn))
		time.Sleep(crashingInterval)
	}
	close(stop)
	restarts.Wait()
	if crashes == 0 {
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

// restartCrashed starts crashed back ends again until stop is closed, and returns after the
// last of these starts. It returns the number of crashes that it detected.
func (r *run) restartCrashed(stream *shape.Stream, stop <-chan struct{}) (crashes int) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	down := map[*fleet.Node]bool{}
	var mutex sync.Mutex
	for stopped := false; !stopped; {
		select {
		case <-stop:
			stopped = true
		case <-time.After(crashPollInterval):
		}
		for _, node := range r.fleet.NodesInPool(path.Base(stream.Prefixes[0])) {
			mutex.Lock()
			crashed := node.Backend.PID() == 0 && !down[node]
			if crashed {
				down[node] = true
				crashes++
			}
			mutex.Unlock()
			if !crashed {
				continue
			}
			r.recordNodeLoss(node)
			restarts.Go(func() {
				time.Sleep(restartDelay)
				mutex.Lock()
				defer mutex.Unlock()
				if err := r.fleet.StartBackend(node); err == nil {
					down[node] = false
				}
			})
		}
	}
	return crashes
}
