package cost

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"limehold/bench/load"
	"limehold/bench/standin"
)

const (
	// largeAnswer is a photo pack's size in bytes.
	largeAnswer = 200 << 20
	slowReaders = 6
	// slowRate is how many bytes a second a slow reader takes.
	slowRate = 25 << 20
	readUnit = 256 << 10
	megabyte = 1 << 20
)

// Streaming is what large answers to slow readers cost a router.
type Streaming struct {
	Readers      int `json:"readers"`
	AnswerMB     int `json:"answer_mb"`
	RateMBSecond int `json:"rate_mb_per_second"`
	// RouterMB is the peak memory of the router before and after.
	RouterBeforeMB float64 `json:"router_before_mb"`
	RouterAfterMB  float64 `json:"router_after_mb"`
	Whole          int     `json:"whole_answers"`
	// Others are requests of the compared stream sent meanwhile.
	OthersOK     int     `json:"others_ok"`
	OthersFailed int     `json:"others_failed"`
	OthersP50    float64 `json:"others_p50_us"`
	OthersP99    float64 `json:"others_p99_us"`
}

// streaming has slow readers take large answers from one router, while small
// requests go through it as well.
func (m *measurement) streaming(ctx context.Context, report *Report) error {
	prefix := m.largePrefix()
	nodes := m.fleet.NodesOf(m.options.Shape.PoolOf(prefix))
	if err := m.setKnobs(nodes, standin.Knobs{SlowFactor: quickFactor}); err != nil {
		return err
	}
	into := &report.Streaming
	into.Readers, into.AnswerMB, into.RateMBSecond = slowReaders, largeAnswer/megabyte, slowRate/megabyte
	router := m.fleet.Routers[0]
	into.RouterBeforeMB = float64(router.Usage().PeakRSSBytes) / megabyte
	smallContext, stopSmall := context.WithCancel(ctx)
	small := make(chan load.ClosedResult, 1)
	go func() {
		small <- load.RunClosed(smallContext, load.ClosedOptions{
			Stream: m.stream(), Targets: m.routers()[:1], Workers: 1, Duration: time.Hour, RunPrefix: "beside-",
		})
	}()
	group, groupContext := errgroup.WithContext(ctx)
	for reader := range slowReaders {
		group.Go(func() error {
			return readSlowly(groupContext, router.Field("address"), prefix, fmt.Sprintf("large-%02d", reader))
		})
	}
	err := group.Wait()
	stopSmall()
	others := <-small
	if err != nil {
		return err
	}
	into.Whole = slowReaders
	into.RouterAfterMB = float64(router.Usage().PeakRSSBytes) / megabyte
	into.OthersOK, into.OthersFailed = others.OK, others.Failed
	into.OthersP50, into.OthersP99 = others.Quantiles()
	return nil
}

// largePrefix is the service whose answers are the largest.
func (m *measurement) largePrefix() string {
	largest := &m.options.Shape.Streams[0]
	for i := range m.options.Shape.Streams {
		if stream := &m.options.Shape.Streams[i]; stream.Bytes > largest.Bytes && stream.Keys == 0 {
			largest = stream
		}
	}
	return largest.Prefixes[0]
}

// readSlowly takes a large answer at slowRate and compares every byte.
func readSlowly(ctx context.Context, address, prefix, run string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return eris.Wrapf(err, "dial %s", address)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_, err = fmt.Fprintf(conn, "GET %s/large?%s=%d HTTP/1.1\r\nHost: fleet\r\n%s: %s\r\n\r\n", prefix, standin.QueryBytes, largeAnswer, standin.HeaderRun, run)
	if err != nil {
		return eris.Wrap(err, "ask for a large answer")
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, readUnit), nil)
	if err != nil {
		return eris.Wrap(err, "read the head of a large answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s was answered with status %d", run, response.StatusCode)
	}
	return compareSlowly(response.Body, run)
}

func compareSlowly(body io.Reader, run string) error {
	line := standin.Body(run, 1)
	// A buffer that holds whole lines, so that each one begins at the same place.
	want := bytes.Repeat(line, readUnit/len(line))
	got := make([]byte, len(want))
	started := time.Now()
	total := 0
	for {
		count, err := io.ReadFull(body, got)
		if !bytes.Equal(got[:count], want[:count]) {
			return eris.Errorf("%s: other bytes than its own after %d", run, total)
		}
		total += count
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return eris.Wrapf(err, "%s broke off after %d bytes", run, total)
		}
		ahead := time.Duration(float64(total) / slowRate * float64(time.Second))
		time.Sleep(ahead - time.Since(started))
	}
	if total != largeAnswer {
		return eris.Errorf("%s ended after %d of %d bytes", run, total, largeAnswer)
	}
	return nil
}
