// Named sets of rules: those of the product, and variants without one of the safeguards.
package explore

import (
	"maps"
	"slices"
)

// baseRules returns the safeguards that all named sets except "none" start from.
func baseRules() Rules {
	return Rules{ClearedConnection: true, ClearFirst: true, FreeOnClear: true, FinalClose: true, RevisionEpochs: true}
}

func baseRulesWith(change func(*Rules)) Rules {
	rules := baseRules()
	change(&rules)
	return rules
}

func clearAfterList(r *Rules) { r.ClearAfterList, r.CloseNamesProcess = true, true }

func quiescence(r *Rules) {
	clearAfterList(r)
	r.Quiescence = true
}

func quiescenceUncleared(r *Rules) {
	quiescence(r)
	r.QuiescenceUncleared = true
}

func quiescenceUnnotified(r *Rules) {
	quiescence(r)
	r.QuiescenceUnnotified = true
}

// productRulesWith returns the rules of the product with a change applied.
func productRulesWith(change func(*Rules)) Rules {
	rules := baseRulesWith(quiescence)
	change(&rules)
	return rules
}

// ProductRules is the name of the product's rules.
const ProductRules = "product"

// NamedRules returns the sets of rules by name.
func NamedRules() map[string]Rules {
	return map[string]Rules{
		ProductRules:             baseRulesWith(quiescence),
		"none":                   {},
		"without-quiet":          baseRulesWith(clearAfterList),
		"without-clear":          productRulesWith(func(r *Rules) { r.ClearFirst = false }),
		"without-free-on-proof":  productRulesWith(func(r *Rules) { r.FreeOnClear = false }),
		"without-ended":          productRulesWith(func(r *Rules) { r.FinalClose = false }),
		"without-process-in-end": productRulesWith(func(r *Rules) { r.CloseNamesProcess = false }),
		"clear-before-list":      productRulesWith(func(r *Rules) { r.ClearBeforeList = true }),
		"clear-under-same-fence": productRulesWith(func(r *Rules) { r.ClearSameFence = true }),
		"quiet-uncleared":        baseRulesWith(quiescenceUncleared),
		"quiet-untold":           baseRulesWith(quiescenceUnnotified),
	}
}

// RuleNames returns the sorted names of NamedRules.
func RuleNames() []string { return slices.Sorted(maps.Keys(NamedRules())) }
