package wire

import (
	"testing"
	"time"
)

func TestInstanceStateIsReadAsWritten(t *testing.T) {
	for name, state := range map[string]InstanceState{
		"nothing said":        {Incarnation: "i-1@5"},
		"a limit":             {Incarnation: "i-1@5", Limit: 20.6},
		"a small limit":       {Incarnation: "i-1@5", Limit: 0.25},
		"a very large limit":  {Incarnation: "i-1@5", Limit: 1e300},
		"leaving":             {Incarnation: "i-1@5", Leaving: true, LeavingFor: 1500 * time.Millisecond},
		"just leaving":        {Incarnation: "i-1@5", Leaving: true},
		"both":                {Incarnation: "i-1@5", Limit: 3, Leaving: true, LeavingFor: time.Hour},
		"separators in an ID": {Incarnation: "a b\r\nc;d%20", Limit: 3},
		"no ID":               {Limit: 3},
	} {
		t.Run(name, func(t *testing.T) {
			read, err := ParseInstanceState(state.String())
			if err != nil || read != state {
				t.Errorf("%q is read as %+v, %v, want %+v", state.String(), read, err, state)
			}
		})
	}
}

func TestParseInstanceStateRejects(t *testing.T) {
	for _, text := range []string{"", "i-1", "i-1 3", "i-1 3 - -", "i-1 x -", "i-1 NaN -", "i-1 -1 -", "i-1 3 x", "i-1 3 -5", "%zz 3 -"} {
		if state, err := ParseInstanceState(text); err == nil {
			t.Errorf("%q is read as %+v", text, state)
		}
	}
}
