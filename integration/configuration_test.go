package integration

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"limehold/adminapi"
	"limehold/bench/fleet"
	"limehold/bench/shape"
	"limehold/wire"
)

// updateAndWait changes the keyed service and waits until that is in force.
func updateAndWait(running *fleet.Fleet, id, timeout, wait string) (adminapi.Changed, error) {
	var answer adminapi.Changed
	err := running.Admin().Do(adminapi.Request{
		Method: http.MethodPatch, Path: adminapi.PathServices + "/" + keyed, CommandID: id, Query: url.Values{"wait": {wait}},
		Body: adminapi.UpdateService{Values: map[string]string{"timeout": timeout}},
	}, &answer)
	return answer, err
}

func twoRouters() *shape.Shape {
	deployment := small()
	deployment.Routers = 2
	return deployment
}

// "In force" is said only when every router has the change, or admits nothing.
func TestChangeIsNotInForceWhileARouterLags(t *testing.T) {
	is := is.New(t)
	running := start(t, fleet.Options{Shape: twoRouters(), NoDelays: true, ControlMembers: 1})
	eventually(t, "both routers are known", func() error {
		seen, err := status(running)
		if err == nil && len(seen.Routers) < 2 {
			err = errors.New("one is missing")
		}
		return err
	})
	slow := running.Routers[1]
	for _, path := range slow.Control {
		path.Stall(true, true)
	}
	changed, err := updateAndWait(running, "lag", "2110ms", "1s")
	is.NoErr(err)
	is.Equal(changed.InForce, false)
	is.Equal(len(changed.Behind), 1)
	is.Equal(changed.Behind[0].Name, slow.Name) // the answer says who has not got it
	for _, path := range slow.Control {
		path.Stall(false, false)
	}
	eventually(t, "the change is in force once the router is back", func() error {
		again, err := updateAndWait(running, "lag", "2110ms", "10s")
		if err == nil && !again.InForce {
			err = errors.New("it is not")
		}
		return err
	})
}

// A router that cannot confirm its view for the staleness bound refuses, and takes
// up its work again by itself.
func TestRouterThatIsCutOffStopsAdmitting(t *testing.T) {
	is := is.New(t)
	running := start(t, fleet.Options{Shape: twoRouters(), NoDelays: true, ControlMembers: 1})
	cutOff := running.Routers[1]
	for _, path := range cutOff.Control {
		path.Stall(true, true)
	}
	address := cutOff.Field("address")
	eventually(t, "the router refuses", func() error {
		answer := raw(t, address, get("/orders/1", nextRun()))
		if answer.reason() != "not-current" {
			return errors.New(answer.outcome() + " " + answer.reason())
		}
		is.Equal(answer.outcome(), wire.OutcomeNotRun)
		is.True(answer.Header.Get("Retry-After") != "")
		return nil
	})
	is.Equal(raw(t, running.Routers[0].Field("address"), get("/orders/1", nextRun())).outcome(), wire.OutcomeOK)
	for _, path := range cutOff.Control {
		path.Stall(false, false)
	}
	eventually(t, "the router serves again", func() error {
		if answer := raw(t, address, get("/orders/1", nextRun())); answer.outcome() != wire.OutcomeOK {
			return errors.New(answer.reason())
		}
		return nil
	})
}

// A router that starts again under its name is never behind what it had in force.
func TestRestartedRouterDoesNotGoBack(t *testing.T) {
	is := is.New(t)
	running := start(t, fleet.Options{NoDelays: true})
	router := running.Routers[0]
	changed, err := updateAndWait(running, "one", "2120ms", "10s")
	is.NoErr(err)
	is.True(changed.InForce)
	is.True(router.Kill())
	is.NoErr(running.StartRouter(router))
	answer := raw(t, router.Field("address"), get("/kopavogur/proofs", nextRun()))
	is.Equal(answer.reason(), "no-key")
	seen, err := strconv.ParseUint(answer.Header.Get(wire.HeaderRevision), 10, 64)
	is.NoErr(err)
	is.True(seen >= changed.Revision)
}
