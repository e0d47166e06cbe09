package admission

// RetryBudget bounds the load that retries add: each new request earns a fraction of a retry, and
// each retry costs a whole one.
type RetryBudget struct {
	percent int
	credit  float64
}

const (
	// initialCredit is the initial credit, which allows a service with little traffic to retry. Each
	// router has a budget of its own, so a higher value would allow too many retries in total in a
	// small deployment.
	initialCredit = 1
	// maxCredit bounds the credit saved by requests without retries, and thus the next burst of
	// retries.
	maxCredit    = 50
	percentScale = 100
)

// NewRetryBudget returns a budget that allows percent retries for every 100 requests.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, credit: initialCredit}
}

// SetPercent sets the number of retries allowed for every 100 requests.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// Deposit adds the credit of one new request.
func (b *RetryBudget) Deposit() {
	b.credit = min(maxCredit, b.credit+float64(b.percent)/percentScale)
}

// Withdraw uses up the credit for one retry. It returns false if there is not enough.
func (b *RetryBudget) Withdraw() bool {
	if b.percent == 0 || b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
