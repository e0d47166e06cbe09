package wire

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/codec"
	"limehold/loadview"
)

// maxReportBytes is what a load report may add to a renewal: a cell of 1,118 instances that renew once a second then
// adds less than 1 Mbit/s to its leader.
const maxReportBytes = 100

func TestLoadReportIsSmall(t *testing.T) {
	is := is.New(t)
	report := loadview.Report{
		Process: math.MaxUint32, Version: math.MaxUint32, Slots: 1000, Running: 1000, Waiting: 1000, RunTime: time.Minute, Pace: 1.1, Refused: 99.9,
		SuccessShare: 0.99, LinkBusy: time.Minute, InboundBusy: time.Minute, LimitWait: time.Minute,
	}
	size := len(codec.MustMarshal(&report))
	t.Logf("%d bytes", size)
	is.True(size <= maxReportBytes)
}
