package orders

import (
	"strings"
	"testing"
)

// The rules that members followed before have counter-examples, so that the search can find one.
func TestLateOrdersUndoNoNewerOne(t *testing.T) {
	for name, c := range map[string]struct {
		rule     Rule
		bounds   Bounds
		violated bool
	}{
		"one operator":                    {RuleNamedBasis, Bounds{Orders: []int{3}, Copies: 2, Applications: 1}, false},
		"one operator, proposed twice":    {RuleNamedBasis, Bounds{Orders: []int{2}, Copies: 2, Applications: 2}, false},
		"two operators":                   {RuleNamedBasis, Bounds{Orders: []int{2, 1}, Copies: 1, Applications: 2}, false},
		"basis read by the member":        {RuleReadBasis, Bounds{Orders: []int{3}, Copies: 2, Applications: 1}, true},
		"compared with the effects alone": {RuleEffects, Bounds{Orders: []int{3}, Copies: 1, Applications: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := Search(c.rule, c.bounds)
			t.Logf("%d states\n%s", result.States, strings.Join(result.Trace, "\n"))
			if (result.Trace != nil) != c.violated {
				t.Errorf("violated: %t, want %t", result.Trace != nil, c.violated)
			}
		})
	}
}
