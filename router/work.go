package router

import (
	"sync"
	"time"

	"limehold/wire"
)

// workTable gathers the work asked of each shard until it is reported.
type workTable struct {
	mutex    sync.Mutex
	services map[string][]float32
}

func newWorkTable() *workTable { return &workTable{services: map[string][]float32{}} }

// add counts service time in milliseconds; shards is the service's number of shards.
func (w *workTable) add(service string, shard uint32, shards int, spent time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	list := w.services[service]
	if len(list) < shards {
		list = make([]float32, shards)
		w.services[service] = list
	}
	list[shard] += float32(spent.Seconds() * 1000)
}

// take returns what was gathered, only the shards with work, and starts anew.
func (w *workTable) take() []wire.ShardWork {
	w.mutex.Lock()
	services := w.services
	w.services = map[string][]float32{}
	w.mutex.Unlock()
	var report []wire.ShardWork
	for name, list := range services {
		part := wire.ShardWork{Service: name}
		for shard, spent := range list {
			if spent > 0 {
				part.Shards = append(part.Shards, uint32(shard))
				part.Work = append(part.Work, spent)
			}
		}
		if len(part.Shards) > 0 {
			report = append(report, part)
		}
	}
	return report
}
