package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limehold"
	"limehold/ownership"
)

// The simulation runs two nodes, their instances and control in virtual time. Heartbeats and answers are
// delayed, lost, duplicated and reordered; node processes and instances restart; nodes are partitioned
// from control. It checks what the instances hold, which no ledger can see.

const (
	simStep      = 10 * time.Millisecond
	simLength    = 60 * time.Second
	simShards    = 8
	simHeartbeat = 870 * time.Millisecond
	simLease     = 4 * time.Second
	simControl   = simLease * (permille + driftPermille) / permille
)

// simInstance is an application instance.
type simInstance struct {
	name        string
	incarnation int
	sequence    uint64
	next        time.Duration
	// answered is the time at which the newest heartbeat with an accepted answer was sent.
	answered time.Duration
	held     [simShards]simHeld
	released map[uint32]string
	seen     [simShards]uint64
	// busy is the end of the work that began while the shard was held.
	busy [simShards]time.Duration
	slow bool
}

type simHeld struct {
	fence     uint64
	until     time.Duration
	releasing bool
}

// simNode is the node process beside an instance.
type simNode struct {
	ledger           *Ledger
	instance         *simInstance
	partitionedUntil time.Duration
	session          uint64
	// newestList is the number of the newest list that was delivered.
	newestList    uint64
	knownInstance string
	// lease is the expiry of the node's lease as control sees it.
	lease     time.Duration
	nextRenew time.Duration
}

// simShard is control's record of a shard.
type simShard struct {
	owner     *simNode
	session   uint64
	epoch     uint64
	releasing bool
	token     string
}

type simWorld struct {
	random   *rand.Rand
	now      time.Duration
	nodes    []*simNode
	shards   [simShards]simShard
	messages []simMessage
	session  uint64
	failure  string
	moves    int
	// lateLists is set to deliver lists late, in order, but after releases that they do not contain yet.
	lateLists bool
	lists     uint64
}

type simMessage struct {
	at      time.Duration
	deliver func()
}

func (w *simWorld) schedule(least, most time.Duration, deliver func()) {
	w.messages = append(w.messages, simMessage{w.now + least + time.Duration(w.random.Int64N(int64(most-least)+1)), deliver})
}

// delay returns the bounds of a message delay: mostly short, at times seconds.
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
	return New(Options{Shards: simShards, Hold: testHold, AnswerBytes: 300, ProcessStart: w.now})
}

func (i *simInstance) id() string { return fmt.Sprintf("%s-%d", i.name, i.incarnation) }

func (w *simWorld) run() {
	for end := w.now + simLength; w.now < end && w.failure == ""; w.now += simStep {
		messages := w.messages
		w.messages = nil
		for _, item := range messages {
			if item.at > w.now {
				w.messages = append(w.messages, item)
				continue
			}
			item.deliver()
		}
		for _, n := range w.nodes {
			w.runInstance(n)
			w.runNode(n)
		}
		w.control()
		w.injectFaults()
		w.check()
	}
}

// runInstance expires grants, finishes releases and sends heartbeats.
func (w *simWorld) runInstance(n *simNode) {
	i := n.instance
	releasing := false
	for shard := range i.held {
		held := &i.held[shard]
		switch {
		case held.fence == 0:
		case w.now >= held.until:
			*held = simHeld{}
		case held.releasing && w.now >= i.busy[shard]:
			i.released[uint32(shard)] = fmt.Sprintf("%s/%d", i.id(), held.fence)
			*held = simHeld{}
			i.next = min(i.next, w.now)
		case held.releasing:
			releasing = true
		case w.random.IntN(20) == 0:
			i.busy[shard] = w.now + time.Duration(w.random.Int64N(int64(400*time.Millisecond)))
		}
	}
	if releasing {
		i.next = min(i.next, w.now+100*time.Millisecond)
	}
	if w.now >= i.next {
		i.next = w.now + simHeartbeat
		w.sendHeartbeat(n, i)
	}
}

func (w *simWorld) sendHeartbeat(n *simNode, i *simInstance) {
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
	sent, incarnation := w.now, i.incarnation
	copies := 1
	if w.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		least, most := w.delay()
		w.schedule(least, most, func() { w.receiveHeartbeat(n, report, sent, incarnation) })
	}
}

func simRange(shard uint32, fence uint64) limehold.KeyRange {
	first, last := ownership.Range(shard, simShards)
	return limehold.KeyRange{First: first, Last: last, Fence: fence}
}

func (w *simWorld) receiveHeartbeat(n *simNode, report Report, sent time.Duration, incarnation int) {
	if incarnation < n.instance.incarnation && report.Instance != n.ledger.heartbeat.incarnation {
		return // the ingress has received a heartbeat of a newer incarnation
	}
	n.ledger.SetIncarnation(report.Instance)
	n.knownInstance = report.Instance
	if !n.ledger.RecordHeartbeat(report, w.now) {
		return
	}
	received := n.ledger
	sendAnswer := func() {
		if n.ledger != received {
			return // the process has restarted
		}
		answer := n.ledger.Answer(report.Sequence, w.now)
		least, most := w.delay()
		w.schedule(least, most, func() { w.applyAnswer(n.instance, answer, report, sent, incarnation) })
	}
	// Some answers wait for a change.
	w.schedule(0, time.Duration(w.random.IntN(2))*500*time.Millisecond, sendAnswer)
}

// applyAnswer applies an answer at the instance.
func (w *simWorld) applyAnswer(i *simInstance, answer Answer, report Report, sent time.Duration, incarnation int) {
	if incarnation != i.incarnation || w.now-sent > time.Second || sent < i.answered {
		return
	}
	i.answered = sent
	for _, row := range report.Released {
		delete(i.released, ownership.ShardOfNumber(row.First, simShards))
	}
	if !answer.Renews {
		return
	}
	hold := answer.Hold
	if i.slow {
		hold = RealHold(hold)
	}
	var granted [simShards]bool
	for _, row := range answer.Rows {
		for shard := ownership.ShardOfNumber(row.First, simShards); shard <= ownership.ShardOfNumber(row.Last, simShards); shard++ {
			granted[shard] = true
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
		if !granted[shard] && i.held[shard].fence > 0 {
			i.held[shard].releasing = true
		}
	}
}

// checkFence checks that the fences of a shard rise from one instance to the other.
func (w *simWorld) checkFence(i *simInstance, shard uint32, row Row) {
	for _, other := range w.nodes {
		if other.instance != i && other.instance.seen[shard] >= row.Fence {
			w.failure = fmt.Sprintf("shard %d is granted to %s under fence %d, %s has seen fence %d", shard, i.id(), row.Fence, other.instance.id(), other.instance.seen[shard])
		}
	}
}

// runNode renews the lease, and opens a session if there is none or it has expired.
func (w *simWorld) runNode(n *simNode) {
	if w.now < n.nextRenew || w.now < n.partitionedUntil || n.knownInstance == "" {
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
	w.schedule(least, most, func() {
		if n.ledger == received && n.session == session {
			n.ledger.SetLease(session, sent+simLease)
			w.sendList(n)
		}
	})
}

// sendList sends control's list for the current session to the node.
func (w *simWorld) sendList(n *simNode) {
	var grants []Grant
	for shard := range w.shards {
		record := &w.shards[shard]
		if record.owner == n && record.session == n.session && !record.releasing {
			grants = append(grants, Grant{Key: simKey(shard), Epoch: record.epoch, Token: record.token})
		}
	}
	if !w.lateLists {
		n.ledger.ReplaceGrants(n.session, grants, w.now)
		return
	}
	w.lists++
	number, session, receiver := w.lists, n.session, n.ledger
	least, most := w.delay()
	w.schedule(least, most, func() {
		if n.ledger != receiver || n.session != session || number < n.newestList {
			return
		}
		n.newestList = number
		n.ledger.ReplaceGrants(session, grants, w.now)
	})
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

// control expires leases, assigns free shards, and begins and completes moves.
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
			if to.session > 0 && w.now >= to.partitionedUntil {
				*record = simShard{owner: to, session: to.session, epoch: record.epoch + 1, token: record.token}
				w.moves++
				w.sendList(to)
			}
		case record.releasing:
			w.completeRelease(shard)
		case w.random.IntN(400) == 0 && w.now >= record.owner.partitionedUntil:
			record.releasing = true
			record.owner.ledger.BeginRelease([]Grant{{Key: simKey(shard), Epoch: record.epoch}})
		}
	}
}

func (w *simWorld) completeRelease(shard int) {
	record := &w.shards[shard]
	if w.now < record.owner.partitionedUntil {
		return
	}
	// Repeated for a process that has restarted.
	record.owner.ledger.BeginRelease([]Grant{{Key: simKey(shard), Epoch: record.epoch}})
	ranged := simRange(uint32(shard), record.epoch)
	if free := record.owner.ledger.ReleasedRanges([]limehold.KeyRange{ranged}, w.now); len(free) > 0 {
		*record = simShard{epoch: record.epoch, token: free[0].Token}
	}
}

// injectFaults restarts processes and instances, and partitions nodes from control.
func (w *simWorld) injectFaults() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(1500) {
	case 0: // the node's process restarts beside its instance
		n.ledger = w.newLedger()
		n.knownInstance = ""
	case 1: // the instance restarts and holds nothing
		n.instance = &simInstance{name: n.instance.name, incarnation: n.instance.incarnation + 1, released: map[uint32]string{}, slow: n.instance.slow, next: w.now}
		w.closeSession(n)
		n.ledger.SetIncarnation(n.instance.id())
		n.knownInstance = n.instance.id()
	case 2:
		n.partitionedUntil = w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
	}
}

// check checks that no shard is held by both instances.
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
	testSimulation(t, false)
}

// Guards against a list that was made before a release and is processed after it.
func TestNoKeyIsHeldTwiceWhenListsAreLate(t *testing.T) {
	testSimulation(t, true)
}

func testSimulation(t *testing.T, lateLists bool) {
	moves := 0
	for seed := range uint64(200) {
		w := newSimWorld(seed)
		w.lateLists = lateLists
		w.run()
		moves += w.moves
		if w.failure != "" {
			t.Fatalf("seed %d: %s", seed, w.failure)
		}
	}
	if moves < 10_000 {
		t.Fatalf("only %d moves were simulated", moves)
	}
}
