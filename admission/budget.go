package admission

import "math"

// RetryBudget bounds the load that retries add: each new request earns a fraction of a retry, and
// each retry costs a whole one.
//
// What requests without retries earn is saved only up to a reserve. All routers together may add a number of retries
// beyond the fraction that does not grow with them (the slack of a deployment), so that each one's reserve is its
// share of that; see RetryLimit. A router without a reserve keeps a retry until its next request: those of many
// routers add up to the fraction all the same.
type RetryBudget struct {
	percent int
	reserve int
	credit  float64
}

const (
	// initialCredit is the initial credit, which allows a service with little traffic to retry.
	initialCredit = 1
	// defaultReserve is the reserve of routers of which it is not known how many share a slack.
	defaultReserve = 50
	percentScale   = 100
	// reservedSlack is the part of a slack that routers share. The rest covers that their shares are whole numbers, and
	// routers that have a former view of how many there are.
	reservedSlack = 0.8
	// reservedSpare is the part of what is allowed for requests beyond the percentage. The rest covers the calls that
	// repeated runs make again.
	reservedSpare = 0.5
)

// NewRetryBudget returns a budget that allows percent retries for every 100 requests.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, reserve: defaultReserve, credit: initialCredit}
}

// RetryLimit is how many retries of a service's requests all routers of a deployment together may make in one window:
// Ratio for each request in that window, and Slack more.
type RetryLimit struct {
	Ratio float64
	Slack float64
}

// Reserve returns how many retries one of a number of routers may save: its share of the slack, and a part of what the
// limit allows for its own recent requests, the number of requests in one window, beyond the budget's percent. draw is
// a number in [0, 1) that is fixed for the router and evenly distributed over all of them.
func (l RetryLimit) Reserve(routers int, recent float64, percent int, draw float64) int {
	share := reservedSlack * l.Slack / float64(max(1, routers))
	share += reservedSpare * recent * max(0, l.Ratio-float64(percent)/percentScale)
	return int(math.Floor(share + draw))
}

// SetReserve sets how many retries may be saved. phase is a number in [0, 1) that differs from router to router: what
// a budget begins with when its reserve is first set.
func (b *RetryBudget) SetReserve(reserve int, phase float64) {
	if b.reserve == defaultReserve && reserve < defaultReserve {
		b.credit = min(b.credit-initialCredit, float64(reserve)) + phase
	}
	b.reserve = reserve
}

// SetPercent sets the number of retries allowed for every 100 requests.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// Credit returns how many retries are saved.
func (b *RetryBudget) Credit() float64 { return b.credit }

// Deposit adds the credit of one new request.
func (b *RetryBudget) Deposit() {
	if excess := b.credit - float64(b.reserve); excess >= 1 {
		b.credit -= math.Floor(excess)
	}
	b.credit += float64(b.percent) / percentScale
}

// Charge subtracts a retry that has been made, and may leave a debt, of at most what the given number of requests earn.
func (b *RetryBudget) Charge(recent float64) {
	most := max(1, recent*float64(b.percent)/percentScale)
	b.credit = min(b.credit, max(b.credit-1, -most))
}

// Withdraw uses up the credit for one retry. It returns false if there is not enough.
func (b *RetryBudget) Withdraw() bool {
	if b.percent == 0 || b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
