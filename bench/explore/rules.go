// Sets of rules by name: the product's, and what is left of them without a guard.
package explore

import (
	"maps"
	"slices"
)

// newRules has every guard that was decided on.
func newRules() Rules {
	return Rules{Connection: true, Clear: true, FreeOnProof: true, Ended: true, Epochs: true}
}

func changed(change func(*Rules)) Rules {
	rules := newRules()
	change(&rules)
	return rules
}

func byList(r *Rules) { r.ByList, r.EndNamesProcess = true, true }

func quiet(r *Rules) {
	byList(r)
	r.Quiet = true
}

func quietUncleared(r *Rules) {
	quiet(r)
	r.QuietUncleared = true
}

func quietUntold(r *Rules) {
	quiet(r)
	r.QuietUntold = true
}

// without is the product's rules but for what change takes out.
func without(change func(*Rules)) Rules {
	rules := changed(quiet)
	change(&rules)
	return rules
}

// ProductRules names the set of rules that the product has.
const ProductRules = "product"

// NamedRules returns the sets of rules by their names.
func NamedRules() map[string]Rules {
	return map[string]Rules{
		ProductRules:             changed(quiet),
		"none":                   {},
		"without-quiet":          changed(byList),
		"without-clear":          without(func(r *Rules) { r.Clear = false }),
		"without-free-on-proof":  without(func(r *Rules) { r.FreeOnProof = false }),
		"without-ended":          without(func(r *Rules) { r.Ended = false }),
		"without-process-in-end": without(func(r *Rules) { r.EndNamesProcess = false }),
		"clear-before-list":      without(func(r *Rules) { r.ByListEarly = true }),
		"clear-under-same-fence": without(func(r *Rules) { r.ByListSameFence = true }),
		"quiet-uncleared":        changed(quietUncleared),
		"quiet-untold":           changed(quietUntold),
	}
}

// RuleNames lists the names of NamedRules in their order.
func RuleNames() []string { return slices.Sorted(maps.Keys(NamedRules())) }
