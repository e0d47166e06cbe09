package losses

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const refusedLine = `  34.1 node-2 time=2026-12-02T10:00:01.5Z level=info event=request_refused name=node-2 request=r service=numbers route=read reason=back-end-full status=503 returning=true`

func TestLossesOfALog(t *testing.T) {
	for name, c := range map[string]struct {
		lines    []string
		answered int
		lost     Counts
		attempts int
		dropped  int
	}{
		"nothing":           {nil, 0, Counts{}, 0, 0},
		"answered":          {[]string{"time=2026-12-02T10:00:00Z event=request_answered request=a status=200"}, 1, Counts{}, 0, 0},
		"refused again":     {[]string{refusedLine}, 0, Counts{1, 1}, 0, 0},
		"refused once":      {[]string{strings.Replace(refusedLine, "returning=true", "returning=false", 1)}, 0, Counts{1, 0}, 0, 0},
		"both":              {[]string{refusedLine, strings.Replace(refusedLine, "returning=true", "returning=false", 1)}, 0, Counts{2, 1}, 0, 0},
		"an attempt":        {[]string{"event=attempt_refused name=node-1 reason=full"}, 0, Counts{}, 1, 0},
		"lines left out":    {[]string{"event=lines_left_out of=request_passed lines=26"}, 0, Counts{}, 0, 26},
		"another's message": {[]string{"panic: event", "no pairs here", "a=b"}, 0, Counts{}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			summary, err := Read(strings.NewReader(strings.Join(c.lines, "\n")), 2*time.Second)
			is.NoErr(err)
			is.Equal(summary.Answered, c.answered)
			is.Equal(summary.Losses[Loss{"numbers", "read", "back-end-full"}], c.lost)
			is.Equal(len(summary.Hops), c.attempts)
			is.Equal(summary.DroppedLines, c.dropped)
			for at, count := range summary.Windows {
				is.Equal(at.Second()%2, 0)
				is.Equal(count, c.lost.Total)
			}
		})
	}
}

func TestWhatCostsMostComesFirst(t *testing.T) {
	is := is.New(t)
	lines := []string{refusedLine, refusedLine, strings.Replace(refusedLine, "back-end-full", "no-owner", 1)}
	summary, err := Read(strings.NewReader(strings.Join(lines, "\n")), time.Second)
	is.NoErr(err)
	var out strings.Builder
	summary.Write(&out, 1)
	is.True(strings.Contains(out.String(), "numbers\tread\tback-end-full\t2\t2"))
	is.True(!strings.Contains(out.String(), "no-owner"))
}
