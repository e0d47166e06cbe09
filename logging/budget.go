package logging

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// The rate (lines per second) and the burst limit the lines of one event. Events of
	// successful requests have a lower limit, so that failures remain visible.
	successRate  = 10
	successBurst = 40
	defaultRate  = 40
	defaultBurst = 400
	// reportInterval is the minimum time between reports of dropped lines.
	reportInterval = 5 * time.Second
)

// rateLimiter limits the log volume of each event separately, so that a flood of one
// event does not suppress others.
type rateLimiter struct {
	mutex    sync.Mutex
	events   map[string]*tokenBucket
	reported time.Time
	now      func() time.Time
}

type tokenBucket struct {
	tokens  float64
	updated time.Time
	dropped int
}

func newRateLimiter(now func() time.Time) *rateLimiter {
	return &rateLimiter{events: map[string]*tokenBucket{}, now: now, reported: now()}
}

// allow reports whether a line of the event may be written now.
func (l *rateLimiter) allow(event string, level zapcore.Level) bool {
	if event == EventProcessEnded {
		return true
	}
	rate, burst := float64(defaultRate), float64(defaultBurst)
	if level <= zapcore.InfoLevel && successEvents[event] {
		rate, burst = successRate, successBurst
	}
	now := l.now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	bucket := l.events[event]
	if bucket == nil {
		bucket = &tokenBucket{tokens: burst, updated: now}
		l.events[event] = bucket
	}
	bucket.tokens = min(burst, bucket.tokens+rate*now.Sub(bucket.updated).Seconds())
	bucket.updated = now
	if bucket.tokens < 1 {
		bucket.dropped++
		return false
	}
	bucket.tokens--
	return true
}

// successEvents are the events of requests that succeeded.
var successEvents = map[string]bool{EventRequestAnswered: true, EventRequestPassed: true}

// Events that the rate limiter treats specially: the first two have the lower limit.
const (
	// EventRequestAnswered records that a router forwarded an instance's answer to the caller.
	EventRequestAnswered = "request_answered"
	// EventRequestPassed records that an ingress forwarded an instance's answer to the router.
	EventRequestPassed = "request_passed"
	// EventProcessEnded is the last line of a process. It is exempt from the limits.
	EventProcessEnded = "process_ended"
)

// takeDropped returns and resets the number of dropped lines of each event. It returns
// nil if reportInterval has not passed since the last report or no line was dropped.
func (l *rateLimiter) takeDropped() map[string]int {
	now := l.now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.reported) < reportInterval {
		return nil
	}
	l.reported = now
	var counts map[string]int
	for event, bucket := range l.events {
		if bucket.dropped == 0 {
			continue
		}
		if counts == nil {
			counts = map[string]int{}
		}
		counts[event] = bucket.dropped
		bucket.dropped = 0
	}
	return counts
}

// rateLimitedCore is a core that limits the rate of each event. Lines over the limit
// are dropped before they are encoded.
type rateLimitedCore struct {
	zapcore.Core
	limiter *rateLimiter
	queue   *lineQueue
}

// With implements zapcore.Core.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: c.Core.With(fields), limiter: c.limiter, queue: c.queue}
}

// Check implements zapcore.Core.
func (c *rateLimitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) || !c.limiter.allow(entry.Message, entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core.
func (c *rateLimitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	for event, count := range c.limiter.takeDropped() {
		report := entry
		report.Message = "lines_left_out"
		if err := c.Core.Write(report, []zapcore.Field{zap.String("of", event), zap.Int("lines", count), zap.Int64("unwritten", c.queue.dropped.Load())}); err != nil {
			return err
		}
	}
	if entry.Message == EventProcessEnded {
		c.queue.dropOldestIfFull()
	}
	return c.Core.Write(entry, fields)
}
