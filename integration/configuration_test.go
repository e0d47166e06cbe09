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

// updateAndWait changes the keyed service and lets control wait up to the given time for the change to be in
// force.
func updateAndWait(running *fleet.Fleet, id, timeout, wait string) (adminapi.ChangeResult, error) {
	var answer adminapi.ChangeResult
	err := running.Admin().Do(adminapi.Request{
		Method: http.MethodPatch, Path: adminapi.PathServices + "/" + keyedService, CommandID: id, Query: url.Values{"wait": {wait}},
		Body: adminapi.UpdateServiceRequest{Values: map[string]string{"timeout": timeout}},
	}, &answer)
	return answer, err
}

func twoRouters() *shape.Shape {
	deployment := smallShape()
	deployment.Routers = 2
	return deployment
}

// A change is reported as in force only if every router has it or admits no requests.
func TestChangeIsNotInForceWhileARouterLags(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{Shape: twoRouters(), NoDelays: true, ControlMembers: 1})
	eventually(t, "both routers are known", func() error {
		seen, err := getStatus(running)
		if err == nil && len(seen.Routers) < 2 {
			err = errors.New("one router is missing")
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
	is.Equal(len(changed.LaggingRouters), 1)
	is.Equal(changed.LaggingRouters[0].Name, slow.Name) // the answer names the router that does not have the change
	for _, path := range slow.Control {
		path.Stall(false, false)
	}
	eventually(t, "the change is in force once the router is back", func() error {
		again, err := updateAndWait(running, "lag", "2110ms", "10s")
		if err == nil && !again.InForce {
			err = errors.New("the change is not in force")
		}
		return err
	})
}

// A router that cannot confirm its view within the staleness bound rejects requests, and
// resumes without intervention when it can confirm it again.
func TestRouterThatIsCutOffStopsAdmitting(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{Shape: twoRouters(), NoDelays: true, ControlMembers: 1})
	partitioned := running.Routers[1]
	for _, path := range partitioned.Control {
		path.Stall(true, true)
	}
	address := partitioned.Field("address")
	eventually(t, "the router rejects requests", func() error {
		answer := send(t, address, getRequest("/orders/1", newRunID()))
		if answer.reason() != "not-current" {
			return errors.New(answer.outcome() + " " + answer.reason())
		}
		is.Equal(answer.outcome(), wire.OutcomeNotRun)
		is.True(answer.Header.Get("Retry-After") != "")
		return nil
	})
	is.Equal(send(t, running.Routers[0].Field("address"), getRequest("/orders/1", newRunID())).outcome(), wire.OutcomeOK)
	for _, path := range partitioned.Control {
		path.Stall(false, false)
	}
	eventually(t, "the router serves again", func() error {
		if answer := send(t, address, getRequest("/orders/1", newRunID())); answer.outcome() != wire.OutcomeOK {
			return errors.New(answer.reason())
		}
		return nil
	})
}

// A restarted router must not use an older revision than it had in force before.
func TestRestartedRouterDoesNotGoBack(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true})
	router := running.Routers[0]
	changed, err := updateAndWait(running, "one", "2120ms", "10s")
	is.NoErr(err)
	is.True(changed.InForce)
	is.True(router.Kill())
	is.NoErr(running.StartRouter(router))
	answer := send(t, router.Field("address"), getRequest("/kopavogur/proofs", newRunID()))
	is.Equal(answer.reason(), "no-key")
	seen, err := strconv.ParseUint(answer.Header.Get(wire.HeaderRevision), 10, 64)
	is.NoErr(err)
	is.True(seen >= changed.Revision)
}
