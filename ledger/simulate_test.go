package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limehold"
	"limehold/ownership"
)

// The simulation plays two nodes, their instances and control in virtual time: heartbeats
// and answers that are late, lost, doubled and out of order, processes that restart beside
// their instance, instances that start anew, nodes that are cut off from control. It looks
// at what the instances hold, which no ledger sees.

const (
	simStep    = 10 * time.Millisecond
	simLength  = 60 * time.Second
	simShards  = 8
	simBeat    = 870 * time.Millisecond
	simLease   = 4 * time.Second
	simControl = simLease * (permille + instanceDrift) / permille
)

// simInstance is an application instance: what it holds, and what it says.
type simInstance struct {
	name     string
	life     int
	sequence uint64
	next     time.Duration
	// answered is the sending time of the newest heartbeat whose answer was taken.
	answered time.Duration
	held     [simShards]simHeld
	released map[uint32]string
	seen     [simShards]uint64
	// busy is until when work goes on that began while the shard was held.
	busy [simShards]time.Duration
	slow bool
}

type simHeld struct {
	fence   uint64
	until   time.Duration
	leaving bool
}

// simNode is a node's process beside an instance.
type simNode struct {
	ledger   *Ledger
	instance *simInstance
	cutUntil time.Duration
	session  uint64
	known    string
	// lease is control's knowledge of the node's lease.
	lease     time.Duration
	nextRenew time.Duration
}

// simShard is control's record.
type simShard struct {
	owner     *simNode
	session   uint64
	epoch     uint64
	releasing bool
	token     string
}

type simWorld struct {
	random  *rand.Rand
	now     time.Duration
	nodes   []*simNode
	shards  [simShards]simShard
	mail    []simMail
	session uint64
	failure string
	moves   int
}

type simMail struct {
	at   time.Duration
	work func()
}

func (w *simWorld) later(least, most time.Duration, work func()) {
	w.mail = append(w.mail, simMail{w.now + least + time.Duration(w.random.Int64N(int64(most-least)+1)), work})
}

// delay is mostly short, at times seconds.
func (w *simWorld) delay() (least, most time.Duration) {
	if w.random.IntN(12) == 0 {
		return 0, 3 * time.Second
	}
	return 0, 30 * time.Millisecond
}

func newSimWorld(seed uint64) *simWorld {
	w := &simWorld{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range 2 {
		instance := &simInstance{name: fmt.Sprintf("i%d", i), released: map[uint32]string{}, slow: w.random.IntN(2) == 0}
		w.nodes = append(w.nodes, &simNode{ledger: w.newLedger(), instance: instance})
	}
	return w
}

func (w *simWorld) newLedger() *Ledger {
	return New(Options{Shards: simShards, Hold: testHold, AnswerBytes: 300, Began: w.now})
}

func (i *simInstance) id() string { return fmt.Sprintf("%s-%d", i.name, i.life) }

func (w *simWorld) play() {
	for end := w.now + simLength; w.now < end && w.failure == ""; w.now += simStep {
		mail := w.mail
		w.mail = nil
		for _, item := range mail {
			if item.at > w.now {
				w.mail = append(w.mail, item)
				continue
			}
			item.work()
		}
		for _, n := range w.nodes {
			w.runInstance(n)
			w.runNode(n)
		}
		w.control()
		w.trouble()
		w.check()
	}
}

// runInstance ends what has run out, finishes what is let go, and sends heartbeats.
func (w *simWorld) runInstance(n *simNode) {
	i := n.instance
	hurry := false
	for shard := range i.held {
		held := &i.held[shard]
		switch {
		case held.fence == 0:
		case w.now >= held.until:
			*held = simHeld{}
		case held.leaving && w.now >= i.busy[shard]:
			i.released[uint32(shard)] = fmt.Sprintf("%s/%d", i.id(), held.fence)
			*held = simHeld{}
			i.next = min(i.next, w.now)
		case held.leaving:
			hurry = true
		case w.random.IntN(20) == 0:
			i.busy[shard] = w.now + time.Duration(w.random.Int64N(int64(400*time.Millisecond)))
		}
	}
	if hurry {
		i.next = min(i.next, w.now+100*time.Millisecond)
	}
	if w.now >= i.next {
		i.next = w.now + simBeat
		w.sendBeat(n, i)
	}
}

func (w *simWorld) sendBeat(n *simNode, i *simInstance) {
	i.sequence++
	report := Report{Instance: i.id(), Sequence: i.sequence}
	for shard, held := range i.held {
		if held.fence > 0 {
			report.Holds = append(report.Holds, simRange(uint32(shard), held.fence))
		}
	}
	for shard, token := range i.released {
		ranged := simRange(shard, 0)
		report.Released = append(report.Released, ReleasedRange{First: ranged.First, Last: ranged.Last, Token: token})
	}
	sent, life := w.now, i.life
	copies := 1
	if w.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		least, most := w.delay()
		w.later(least, most, func() { w.receiveBeat(n, report, sent, life) })
	}
}

func simRange(shard uint32, fence uint64) limehold.KeyRange {
	first, last := ownership.Range(shard, simShards)
	return limehold.KeyRange{First: first, Last: last, Fence: fence}
}

func (w *simWorld) receiveBeat(n *simNode, report Report, sent time.Duration, life int) {
	if life < n.instance.life && report.Instance != n.ledger.beats.instance {
		return // the ingress has heard of a newer start
	}
	n.ledger.Begin(report.Instance)
	n.known = report.Instance
	if !n.ledger.Report(report, w.now) {
		return
	}
	received := n.ledger
	answerLater := func() {
		if n.ledger != received {
			return // the process has restarted
		}
		answer := n.ledger.Answer(report.Sequence, w.now)
		least, most := w.delay()
		w.later(least, most, func() { w.takeAnswer(n.instance, answer, report, sent, life) })
	}
	// Some answers wait for something to tell.
	w.later(0, time.Duration(w.random.IntN(2))*500*time.Millisecond, answerLater)
}

// takeAnswer is the instance's side of an answer.
func (w *simWorld) takeAnswer(i *simInstance, answer Answer, report Report, sent time.Duration, life int) {
	if life != i.life || w.now-sent > time.Second || sent < i.answered {
		return
	}
	i.answered = sent
	for _, row := range report.Released {
		delete(i.released, ownership.OfNumber(row.First, simShards))
	}
	if !answer.Renews {
		return
	}
	hold := answer.Hold
	if i.slow {
		hold = Longest(hold)
	}
	var told [simShards]bool
	for _, row := range answer.Rows {
		for shard := ownership.OfNumber(row.First, simShards); shard <= ownership.OfNumber(row.Last, simShards); shard++ {
			told[shard] = true
			if row.Fence < i.seen[shard] || sent+hold <= w.now {
				continue
			}
			if i.held[shard].fence != row.Fence {
				w.checkFence(i, shard, row)
			}
			i.seen[shard] = row.Fence
			i.held[shard] = simHeld{fence: row.Fence, until: sent + hold}
		}
	}
	for shard := range i.held {
		if !told[shard] && i.held[shard].fence > 0 {
			i.held[shard].leaving = true
		}
	}
}

// checkFence has fences rise from holder to holder.
func (w *simWorld) checkFence(i *simInstance, shard uint32, row Row) {
	for _, other := range w.nodes {
		if other.instance != i && other.instance.seen[shard] >= row.Fence {
			w.failure = fmt.Sprintf("shard %d goes to %s under fence %d, %s had %d", shard, i.id(), row.Fence, other.instance.id(), other.instance.seen[shard])
		}
	}
}

// runNode renews the lease, and opens a session for a new start of the instance.
func (w *simWorld) runNode(n *simNode) {
	if w.now < n.nextRenew || w.now < n.cutUntil || n.known == "" {
		return
	}
	n.nextRenew = w.now + time.Second
	if n.session == 0 || w.now >= n.lease {
		w.closeSession(n)
		w.session++
		n.session = w.session
	}
	n.lease = w.now + simControl
	sent, session := w.now, n.session
	received := n.ledger
	least, most := w.delay()
	w.later(least, most, func() {
		if n.ledger == received && n.session == session {
			n.ledger.SetLease(session, sent+simLease)
			w.list(n)
		}
	})
}

// list tells the node control's list, for the start that it was made for.
func (w *simWorld) list(n *simNode) {
	var grants []Grant
	for shard := range w.shards {
		record := &w.shards[shard]
		if record.owner == n && record.session == n.session && !record.releasing {
			grants = append(grants, Grant{Key: simKey(shard), Epoch: record.epoch, Token: record.token})
		}
	}
	n.ledger.List(n.session, grants, w.now)
}

func simKey(shard int) ownership.Key { return ownership.Key{Service: "numbers", Shard: uint32(shard)} }

func (w *simWorld) closeSession(n *simNode) {
	for shard := range w.shards {
		if w.shards[shard].owner == n {
			w.shards[shard] = simShard{epoch: w.shards[shard].epoch}
		}
	}
	n.session = 0
}

// control ends leases, places what is free, and begins and ends moves.
func (w *simWorld) control() {
	for _, n := range w.nodes {
		if n.session > 0 && w.now >= n.lease {
			w.closeSession(n)
		}
	}
	for shard := range w.shards {
		record := &w.shards[shard]
		to := w.nodes[w.random.IntN(len(w.nodes))]
		switch {
		case record.owner == nil:
			if to.session > 0 && w.now >= to.cutUntil {
				*record = simShard{owner: to, session: to.session, epoch: record.epoch + 1, token: record.token}
				w.moves++
				w.list(to)
			}
		case record.releasing:
			w.letGo(shard)
		case w.random.IntN(400) == 0 && w.now >= record.owner.cutUntil:
			record.releasing = true
			record.owner.ledger.BeginRelease([]Grant{{Key: simKey(shard), Epoch: record.epoch}})
		}
	}
}

func (w *simWorld) letGo(shard int) {
	record := &w.shards[shard]
	if w.now < record.owner.cutUntil {
		return
	}
	// A process that has restarted is asked again.
	record.owner.ledger.BeginRelease([]Grant{{Key: simKey(shard), Epoch: record.epoch}})
	ranged := simRange(uint32(shard), record.epoch)
	if free := record.owner.ledger.LetGo([]limehold.KeyRange{ranged}, w.now); len(free) > 0 {
		*record = simShard{epoch: record.epoch, token: free[0].Token}
	}
}

// trouble restarts processes and instances, and cuts nodes off.
func (w *simWorld) trouble() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(1500) {
	case 0: // the node's process restarts beside its instance
		n.ledger = w.newLedger()
		n.known = ""
	case 1: // the instance starts anew: what it held is gone
		n.instance = &simInstance{name: n.instance.name, life: n.instance.life + 1, released: map[uint32]string{}, slow: n.instance.slow, next: w.now}
		w.closeSession(n)
		n.ledger.Begin(n.instance.id())
		n.known = n.instance.id()
	case 2:
		n.cutUntil = w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
	}
}

// check looks at the instances: a shard is held by one at most.
func (w *simWorld) check() {
	for shard := range simShards {
		a, b := w.nodes[0].instance, w.nodes[1].instance
		if a.held[shard].fence > 0 && b.held[shard].fence > 0 {
			w.failure = fmt.Sprintf("at %v shard %d is held by %s under %d until %v and by %s under %d until %v", w.now, shard,
				a.id(), a.held[shard].fence, a.held[shard].until, b.id(), b.held[shard].fence, b.held[shard].until)
		}
	}
}

func TestNoKeyIsHeldTwiceWhateverHeartbeatsDo(t *testing.T) {
	moves := 0
	for seed := range uint64(200) {
		w := newSimWorld(seed)
		w.play()
		moves += w.moves
		if w.failure != "" {
			t.Fatalf("seed %d: %s", seed, w.failure)
		}
	}
	if moves < 10_000 {
		t.Fatalf("only %d moves were played", moves)
	}
}
