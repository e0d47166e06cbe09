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

// stallLimit is what the two tests below set as the services' stall timeout.
const stallLimit = 500 * time.Millisecond

func stallingFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{NoDelays: true, TemplateSuffix: "\n  stall_timeout: " + stallLimit.String() + "\n"})
}

// A back end that freezes within a long answer must not keep its caller, nor the
// slot, for ever.
func TestAnswerThatStallsIsCut(t *testing.T) {
	is := is.New(t)
	running := stallingFleet(t)
	misbehave(t, running, "photos", standin.Knobs{StallPercent: 100})
	started := time.Now()
	answer := raw(t, running.Routers[0].Field("address"), get("/photos/1?bytes=300000", nextRun()))
	is.Equal(answer.outcome(), wire.OutcomeOK) // the head came before the back end froze
	is.True(answer.cut != nil)                 // and the caller can tell that the rest is missing
	is.True(len(answer.body) < 300000)
	is.True(time.Since(started) < callLimit)
}

// Callers that stop reading hold the slots of an instance only for so long.
func TestCallersThatStopReadingKeepNoSlot(t *testing.T) {
	is := is.New(t)
	running := stallingFleet(t)
	address := running.Routers[0].Field("address")
	const slots = 4
	for range slots {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, get("/photos/big?bytes=100000000", nextRun()))
		is.NoErr(err)
		var first [1]byte
		_ = conn.SetReadDeadline(time.Now().Add(callLimit))
		_, err = io.ReadFull(conn, first[:])
		is.NoErr(err) // the answer has begun; nothing more is read of it
	}
	eventually(t, "a slot for others", func() error {
		answer := raw(t, address, get("/photos/1?bytes=100", nextRun(), "Limehold-Timeout-Ms: 300"))
		if answer.outcome() != wire.OutcomeOK {
			return fmt.Errorf("outcome %s", answer.outcome())
		}
		return nil
	})
}
