// Package runplan decides whether a request can still end before its deadline, from the run times that its route
// has had at one instance. A run that outlasts its deadline occupies a slot and serves nobody. The package does no
// I/O and reads no clock.
package runplan

import "time"

const (
	// maxRoutes bounds the routes whose run times are kept. Requests of others are let through.
	maxRoutes = 1024
	// minShare is the share of a route's runs that have to end within the time that a request has left. A request
	// that more likely ends in time than not is let through if a slot is free.
	minShare = 0.5
	// waitShare is the part of its chance to end in time that a request keeps while it waits for a slot.
	waitShare = 0.9
	// probeInterval is how long no run of a route has to have begun until a request is let through that would
	// most likely outlast its deadline: without any runs, a route whose runs are short again could not show it.
	probeInterval = 500 * time.Millisecond
	// probeShare is the part of the longest time that requests of the route have left which a request needs to be let
	// through for that reason. One with less time would show little.
	probeShare = 0.9
	// allowedDecay is the weight of the longest time left at each further request.
	allowedDecay = 0.99
)

// Routes holds the run times of the routes of one instance. Its zero value is ready for use.
type Routes struct {
	byName map[string]*route
}

// route is what is known of one route.
type route struct {
	runs Runs
	// begun is when a run began last.
	begun time.Duration
	// allowed is the longest time that requests have left on arrival; recent ones count more.
	allowed time.Duration
}

// MaxWait returns how long a request of a route may wait for a slot, given the time left until its deadline. vain is
// set if the request would most likely outlast its deadline even if it began at once, and has to be rejected.
func (r *Routes) MaxWait(name string, left, now time.Duration) (wait time.Duration, vain bool) {
	known := r.byName[name]
	if known == nil || !known.runs.isKnown() {
		return left, false
	}
	known.allowed = max(left, time.Duration(float64(known.allowed)*allowedDecay))
	share := known.runs.Share(left)
	if share < minShare {
		isProbe := now-known.begun >= probeInterval && float64(left) >= probeShare*float64(known.allowed)
		return 0, !isProbe
	}
	return max(0, left-known.runs.Within(share*waitShare)), false
}

// IsVain reports whether a waiting request of a route, which is about to begin, would most likely outlast its deadline.
func (r *Routes) IsVain(name string, left time.Duration) bool {
	known := r.byName[name]
	return known != nil && known.runs.isKnown() && known.runs.Share(left) < minShare
}

// Begin records that a run of a route begins.
func (r *Routes) Begin(name string, now time.Duration) {
	if known := r.byName[name]; known != nil {
		known.begun = now
	}
}

// Record records a run that ended by itself.
func (r *Routes) Record(name string, ran, now time.Duration) {
	if known := r.learn(name); known != nil {
		known.runs.add(ran, now)
	}
}

// RecordCut records a run that had not ended when its deadline passed.
func (r *Routes) RecordCut(name string, ran, now time.Duration) {
	if known := r.learn(name); known != nil {
		known.runs.addCut(ran, now)
	}
}

// Forget discards all run times: another incarnation of the instance may be faster or slower.
func (r *Routes) Forget() { r.byName = nil }

// learn returns the entry of a route; nil if there is none and no room for another one.
func (r *Routes) learn(name string) *route {
	if known := r.byName[name]; known != nil {
		return known
	}
	if len(r.byName) >= maxRoutes {
		return nil
	}
	if r.byName == nil {
		r.byName = map[string]*route{}
	}
	known := &route{}
	r.byName[name] = known
	return known
}
