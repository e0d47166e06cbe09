package experiment

import "github.com/rotisserie/eris"

// Baseline names a simpler policy that limehold is compared with. BaselineNone
// stands for limehold's own policies.
type Baseline string

// The known baselines.
const (
	BaselineNone          Baseline = ""
	BaselineHash          Baseline = "static-hash"
	BaselineGreedy        Baseline = "greedy"
	BaselineRoundRobin    Baseline = "round-robin"
	BaselineLocalLimits   Baseline = "local-limits"
	BaselineNoRetryBudget Baseline = "no-retry-budget"
)

// ParseBaseline returns the baseline with the given name, or an error if there is none.
func ParseBaseline(name string) (Baseline, error) {
	switch baseline := Baseline(name); baseline {
	case BaselineNone, BaselineHash, BaselineGreedy, BaselineRoundRobin, BaselineLocalLimits, BaselineNoRetryBudget:
		return baseline, nil
	}
	return "", eris.Errorf("--baseline is %q: use static-hash, greedy, round-robin, local-limits or no-retry-budget", name)
}

// settings returns the setting overrides by role that make processes follow the baseline.
func (b Baseline) settings() map[string][]string {
	switch b {
	case BaselineHash:
		return map[string][]string{"control": {"control.placement=hash"}}
	case BaselineGreedy:
		return map[string][]string{"control": {"control.placement=greedy"}}
	case BaselineRoundRobin:
		return map[string][]string{"router": {"router.balance=round_robin"}}
	case BaselineLocalLimits:
		return map[string][]string{"router": {"router.limits=fixed"}}
	}
	return nil
}

// templateSuffix returns text that is appended to the spec of every template.
func (b Baseline) templateSuffix() string {
	if b == BaselineNoRetryBudget {
		return "\n  retry_budget_percent: 1000\n"
	}
	return ""
}
