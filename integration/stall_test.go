package integration

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/bench/fleet"
	"limehold/bench/standin"
	"limehold/wire"
)

// stallTimeout is the stall timeout of the services in the tests of this file.
const stallTimeout = 500 * time.Millisecond

func stallingFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	return startFleet(t, fleet.Options{NoDelays: true, TemplateSuffix: "\n  stall_timeout: " + stallTimeout.String() + "\n"})
}

// An answer that stalls must not hold its caller and its slot indefinitely.
func TestAnswerThatStallsIsCut(t *testing.T) {
	is := is.New(t)
	running := stallingFleet(t)
	setKnobs(t, running, "photos", standin.Knobs{StallPercent: 100})
	started := time.Now()
	answer := send(t, running.Routers[0].Field("address"), getRequest("/photos/1?bytes=300000", newRunID()))
	is.Equal(answer.outcome(), wire.OutcomeOK) // the header was sent before the back end stalled
	is.True(answer.bodyErr != nil)             // the caller can detect that the rest is missing
	is.True(len(answer.body) < 300000)
	is.True(time.Since(started) < callTimeout)
}

// Callers that stop reading must release the slots of an instance after a bounded time.
func TestCallersThatStopReadingKeepNoSlot(t *testing.T) {
	is := is.New(t)
	running := stallingFleet(t)
	address := running.Routers[0].Field("address")
	const slots = 4
	for range slots {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, getRequest("/photos/big?bytes=100000000", newRunID()))
		is.NoErr(err)
		var first [1]byte
		_ = conn.SetReadDeadline(time.Now().Add(callTimeout))
		_, err = io.ReadFull(conn, first[:])
		is.NoErr(err) // the answer has begun; the rest is not read
	}
	eventually(t, "a slot for others", func() error {
		answer := send(t, address, getRequest("/photos/1?bytes=100", newRunID(), "Limehold-Timeout-Ms: 300"))
		if answer.outcome() != wire.OutcomeOK {
			return fmt.Errorf("outcome %s", answer.outcome())
		}
		return nil
	})
}
