package admission

// RetryBudget bounds the load that retries add: each new request earns a fraction of a retry, and
// each retry costs a whole one.
type RetryBudget struct {
	percent int
	credit  float64
}

const (
	// initialCredit is the initial credit, which allows a service with little traffic to retry.
	// Every router has its own, so more than one would add up to too much in a small deployment.
	initialCredit = 1
	// maxCredit bounds the saved credit, so that a quiet period does not pay for a burst of retries.
	maxCredit    = 50
	percentScale = 100
)

// NewRetryBudget returns a budget that allows percent retries for every 100 requests.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, credit: initialCredit}
}

// SetPercent sets the number of retries allowed for every 100 requests.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// Earn adds the credit of one new request.
func (b *RetryBudget) Earn() {
	b.credit = min(maxCredit, b.credit+float64(b.percent)/percentScale)
}

// Spend uses up the credit for one retry. It returns false if there is not enough.
func (b *RetryBudget) Spend() bool {
	if b.percent == 0 || b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
