package hollow

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"limehold/adminapi"
	deployment "limehold/bench/fleet"
	"limehold/ownership"
)

// usage is what the members have used so far.
type usage struct {
	leader, followers deployment.Usage
	renewals          int64
	confirms          int64
	at                time.Time
}

func (f *Fleet) usage(leader *deployment.Member) usage {
	now := usage{renewals: f.renewals.Load(), confirms: f.confirms.Load(), at: time.Now()}
	for _, member := range f.control.Members {
		used := member.Usage()
		if member == leader {
			now.leader = used
			continue
		}
		now.followers.CPUSeconds += used.CPUSeconds
		now.followers.SentBytes += used.SentBytes
		now.followers.ReceivedBytes += used.ReceivedBytes
	}
	return now
}

// steadyState measures what sessions and routers cost while nothing happens.
func (f *Fleet) steadyState(_ context.Context, size *Size) error {
	time.Sleep(settleTime)
	leader, err := f.leader()
	if err != nil {
		return err
	}
	size.SessionsLostInSetUp = f.sessionsLost.Load()
	before := f.usage(leader)
	time.Sleep(f.options.Duration)
	after := f.usage(leader)
	seconds := after.at.Sub(before.at).Seconds()
	size.RenewalsPerSecond = float64(after.renewals-before.renewals) / seconds
	size.ConfirmsPerSecond = float64(after.confirms-before.confirms) / seconds
	size.LeaderCPU = (after.leader.CPUSeconds - before.leader.CPUSeconds) / seconds
	size.FollowersCPU = (after.followers.CPUSeconds - before.followers.CPUSeconds) / seconds
	size.LeaderSentPerSecond = float64(after.leader.SentBytes-before.leader.SentBytes) / seconds
	size.LeaderReceivedPerSecond = float64(after.leader.ReceivedBytes-before.leader.ReceivedBytes) / seconds
	size.SessionsLostInSteadyState = f.sessionsLost.Load() - size.SessionsLostInSetUp
	return nil
}

func (f *Fleet) leader() (*deployment.Member, error) {
	var leader *deployment.Member
	err := f.until("a member leads", func() bool {
		leader = f.control.Leader()
		return leader != nil
	})
	return leader, err
}

// changeConfiguration measures changes until they are in force at all routers.
func (f *Fleet) changeConfiguration(_ context.Context, size *Size) error {
	var times []float64
	before := f.updateBytes.Load()
	for i := range changesMeasured {
		started := time.Now()
		var answer adminapi.Changed
		err := f.control.Admin().Do(adminapi.Request{
			Method: http.MethodPatch, Path: adminapi.PathServices + "/" + serviceName(i%size.Services),
			Body: adminapi.UpdateService{Values: map[string]string{"timeout": fmt.Sprintf("%dms", 2000+i)}},
		}, &answer)
		if err != nil {
			return eris.Wrap(err, "change a service")
		}
		err = f.until("the change is in force", func() bool {
			return !slices.ContainsFunc(f.routers, func(r *router) bool { return r.revision.Load() < answer.Revision })
		})
		if err != nil {
			return err
		}
		times = append(times, milliseconds(time.Since(started)))
	}
	if len(f.routers) > 0 {
		size.ChangeBytesPerRouter = (f.updateBytes.Load() - before) / int64(len(f.routers)*changesMeasured)
	}
	size.InForceMsMedian, size.InForceMsMax = middleAndMax(times)
	return nil
}

func milliseconds(length time.Duration) float64 { return float64(length) / float64(time.Millisecond) }

func middleAndMax(values []float64) (middle, most float64) {
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}

// loseNodes ends nodes without a word and measures until others own their shards.
func (f *Fleet) loseNodes(ctx context.Context, size *Size) error {
	var times []float64
	for i := range lossesMeasured {
		took, err := f.loseAndWait(ctx, f.nodes[i*len(f.nodes)/lossesMeasured:][:1])
		if err != nil {
			return err
		}
		times = append(times, took...)
	}
	size.NewOwnerMsMedian, size.NewOwnerMsMax = middleAndMax(times)
	return nil
}

// loseAndWait stops nodes at once, waits until their shards belong to others, and
// starts the nodes again as new processes.
func (f *Fleet) loseAndWait(ctx context.Context, lost []*node) ([]float64, error) {
	names := map[string]bool{}
	for _, n := range lost {
		names[n.name] = true
	}
	before := f.owners.of(names)
	started := time.Now()
	for _, n := range lost {
		n.cancel()
	}
	times, err := f.untilMoved(before, started)
	for _, n := range lost {
		n.mutex.Lock()
		n.incarnation++
		n.session, n.revision = 0, 0
		n.mutex.Unlock()
		f.launch(ctx, n)
	}
	return times, err
}

func (f *Fleet) untilMoved(before map[ownership.Key]owner, started time.Time) ([]float64, error) {
	err := f.until("shards of lost nodes have new owners", func() bool {
		_, complete := f.owners.movedSince(before)
		return complete
	})
	at, _ := f.owners.movedSince(before)
	var times []float64
	for _, moment := range at {
		times = append(times, milliseconds(moment.Sub(started)))
	}
	return times, err
}

// restartMany restarts a share of all nodes at once.
func (f *Fleet) restartMany(ctx context.Context, size *Size) error {
	count := max(1, int(float64(len(f.nodes))*restartShare))
	times, err := f.loseAndWait(ctx, f.nodes[len(f.nodes)-count:])
	size.MassRestartNodes = count
	size.MassRestartMsMedian, size.MassRestartMsMax = middleAndMax(times)
	return err
}

// loseZone loses a quarter of the nodes at once.
func (f *Fleet) loseZone(ctx context.Context, size *Size) error {
	time.Sleep(settleTime)
	var lost []*node
	for _, n := range f.nodes {
		if n.zone == lostZone {
			lost = append(lost, n)
		}
	}
	times, err := f.loseAndWait(ctx, lost)
	size.ZoneLossNodes = len(lost)
	size.ZoneLossMsMedian, size.ZoneLossMsMax = middleAndMax(times)
	return err
}

// loseLeader ends the leader and a node together: the new leader waits a whole
// lease before it takes anything from anybody.
func (f *Fleet) loseLeader(ctx context.Context, size *Size) error {
	time.Sleep(settleTime)
	leader, err := f.leader()
	if err != nil {
		return err
	}
	lostBefore := f.sessionsLost.Load()
	killed := time.Now()
	leader.Kill()
	times, err := f.loseAndWait(ctx, f.nodes[:1])
	size.LeaderAndNodeLossMsMax = slices.Max(append(times, 0))
	if err != nil {
		return err
	}
	err = f.until("all nodes renew again", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool { return n.lastRenewal.Load() < killed.UnixNano() })
	})
	size.AllRenewedAfterLeaderLossMs = milliseconds(time.Since(killed))
	time.Sleep(time.Second)
	size.SessionsLostWithLeader = f.sessionsLost.Load() - lostBefore
	return err
}
