package router

import (
	"sync"
	"time"

	"limehold/wire"
)

// workTable sums up the service time requested of each shard until it is reported.
type workTable struct {
	mutex    sync.Mutex
	services map[string][]float32
}

func newWorkTable() *workTable { return &workTable{services: map[string][]float32{}} }

// add adds service time to a shard; shards is the service's number of shards.
func (w *workTable) add(service string, shard uint32, shards int, duration time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	list := w.services[service]
	if len(list) < shards {
		list = make([]float32, shards)
		w.services[service] = list
	}
	list[shard] += float32(duration.Seconds() * 1000)
}

// take returns and resets the sums, in milliseconds, of the shards that have any.
func (w *workTable) take() []wire.ShardWork {
	w.mutex.Lock()
	services := w.services
	w.services = map[string][]float32{}
	w.mutex.Unlock()
	var report []wire.ShardWork
	for name, list := range services {
		part := wire.ShardWork{Service: name}
		for shard, work := range list {
			if work > 0 {
				part.Shards = append(part.Shards, uint32(shard))
				part.Work = append(part.Work, work)
			}
		}
		if len(part.Shards) > 0 {
			report = append(report, part)
		}
	}
	return report
}
