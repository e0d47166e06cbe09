package admission

// RetryBudget bounds the load that retries add: each request earns a part of a
// retry, each retry spends one.
type RetryBudget struct {
	percent int
	credit  float64
}

const (
	// budgetReserve lets a service with little traffic retry at all. It adds up over all
	// routers: more than one each would be more than a small deployment allows.
	budgetReserve = 1
	// budgetCap bounds the retries that are saved up, so that a quiet hour pays for no storm.
	budgetCap    = 50
	percentWhole = 100
)

// NewRetryBudget returns a budget of percent retries for 100 requests.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, credit: budgetReserve}
}

// SetPercent changes the rate at which credit is earned.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// Earn counts a new request.
func (b *RetryBudget) Earn() {
	b.credit = min(budgetCap, b.credit+float64(b.percent)/percentWhole)
}

// Spend takes one retry; it returns false when there is no credit left.
func (b *RetryBudget) Spend() bool {
	if b.percent == 0 || b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
