package wire

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// HeaderInstanceState carries an InstanceState: on the answers of an ingress, and on the requests of the routers that
// have received it, as the ingress forgets it with a restart.
const HeaderInstanceState = "Limehold-Instance-State"

// InstanceState is what an incarnation of an instance has said of itself in its answers.
type InstanceState struct {
	Incarnation string
	// Limit is how many requests a second the instance takes from all callers together; 0 if it names no limit.
	Limit float64
	// Leaving is set if the instance is about to end, and LeavingFor is how long it has been.
	Leaving    bool
	LeavingFor time.Duration
}

// instanceStateParts is the number of parts of an encoded InstanceState.
const instanceStateParts = 3

// notLeaving stands for the time of an instance that is not about to end.
const notLeaving = "-"

// IsSet reports whether the instance has said anything that is still in force.
func (s InstanceState) IsSet() bool { return s.Limit > 0 || s.Leaving }

// WithAge returns the state after a time.
func (s InstanceState) WithAge(age time.Duration) InstanceState {
	if s.Leaving {
		s.LeavingFor += age
	}
	return s
}

// String encodes the state as the incarnation, the limit, and the time since it is leaving in milliseconds.
func (s InstanceState) String() string {
	leaving := notLeaving
	if s.Leaving {
		leaving = strconv.FormatInt(s.LeavingFor.Milliseconds(), 10)
	}
	return url.QueryEscape(s.Incarnation) + " " + strconv.FormatFloat(s.Limit, 'g', -1, 64) + " " + leaving
}

// ParseInstanceState parses an encoded state.
func ParseInstanceState(text string) (InstanceState, error) {
	parts := strings.Split(text, " ")
	if len(parts) != instanceStateParts {
		return InstanceState{}, eris.Errorf("instance state %q has %d parts, want %d", text, len(parts), instanceStateParts)
	}
	incarnation, err := url.QueryUnescape(parts[0])
	if err != nil {
		return InstanceState{}, eris.Wrapf(err, "incarnation in instance state %q", text)
	}
	limit, err := strconv.ParseFloat(parts[1], 64)
	if err != nil || !(limit >= 0) {
		return InstanceState{}, eris.Errorf("limit in instance state %q is %q, want a number of 0 or more", text, parts[1])
	}
	state := InstanceState{Incarnation: incarnation, Limit: limit}
	if parts[2] == notLeaving {
		return state, nil
	}
	millis, err := strconv.ParseUint(parts[2], 10, 32)
	if err != nil {
		return InstanceState{}, eris.Wrapf(err, "time in instance state %q", text)
	}
	state.Leaving, state.LeavingFor = true, time.Duration(millis)*time.Millisecond
	return state, nil
}
