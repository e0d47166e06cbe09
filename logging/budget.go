package logging

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// budgetRate and budgetBurst bound the lines of one event: so many a second, and
	// so many at once. Failures have more than what went well.
	budgetRate         = 10
	budgetBurst        = 40
	budgetRateFailure  = 40
	budgetBurstFailure = 400
	// tellEvery is how often left out lines are told.
	tellEvery = 5 * time.Second
)

// budgets bounds the volume of each event, so that no flood of one hides another.
type budgets struct {
	mutex  sync.Mutex
	events map[string]*budget
	told   time.Time
	now    func() time.Time
}

type budget struct {
	tokens  float64
	updated time.Time
	left    int
}

func newBudgets(now func() time.Time) *budgets {
	return &budgets{events: map[string]*budget{}, now: now, told: now()}
}

// allow reports whether a line of the event may be written now.
func (b *budgets) allow(event string, level zapcore.Level) bool {
	if event == EventEnded {
		return true
	}
	rate, burst := float64(budgetRateFailure), float64(budgetBurstFailure)
	if level <= zapcore.InfoLevel && goesWell[event] {
		rate, burst = budgetRate, budgetBurst
	}
	now := b.now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.events[event]
	if known == nil {
		known = &budget{tokens: burst, updated: now}
		b.events[event] = known
	}
	known.tokens = min(burst, known.tokens+rate*now.Sub(known.updated).Seconds())
	known.updated = now
	if known.tokens < 1 {
		known.left++
		return false
	}
	known.tokens--
	return true
}

// goesWell are the events of requests that went as they should.
var goesWell = map[string]bool{EventAnswered: true, EventPassed: true}

// Events that are bounded in another way than most: the first two have the smaller budget.
const (
	// EventAnswered: a router has passed an instance's answer on.
	EventAnswered = "request_answered"
	// EventPassed: an ingress has passed an instance's answer on.
	EventPassed = "request_passed"
	// EventEnded is the last line of a process; no bound leaves it out.
	EventEnded = "process_ended"
)

// leftOut returns how many lines of each event were left out since the last call,
// if it is time to tell; nil otherwise.
func (b *budgets) leftOut() map[string]int {
	now := b.now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Sub(b.told) < tellEvery {
		return nil
	}
	b.told = now
	var counts map[string]int
	for event, known := range b.events {
		if known.left == 0 {
			continue
		}
		if counts == nil {
			counts = map[string]int{}
		}
		counts[event] = known.left
		known.left = 0
	}
	return counts
}

// boundedCore is a core whose events have budgets. What is over budget is not even
// encoded.
type boundedCore struct {
	zapcore.Core
	budgets *budgets
	queue   *queue
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return &boundedCore{Core: c.Core.With(fields), budgets: c.budgets, queue: c.queue}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) || !c.budgets.allow(entry.Message, entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core.
func (c *boundedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	for event, count := range c.budgets.leftOut() {
		told := entry
		told.Message = "lines_left_out"
		if err := c.Core.Write(told, []zapcore.Field{zap.String("of", event), zap.Int("lines", count), zap.Int64("unwritten", c.queue.lost.Load())}); err != nil {
			return err
		}
	}
	if entry.Message == EventEnded {
		c.queue.makeRoom()
	}
	return c.Core.Write(entry, fields)
}
