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
	"limehold/upstream"
)

const (
	// largeAnswer is the size of a large answer in bytes, that of a photo pack.
	largeAnswer = 200 << 20
	slowReaders = 6
	// slowRate is the rate of a slow reader in bytes per second.
	slowRate       = 25 << 20
	readBufferSize = 256 << 10
	megabyte       = 1 << 20
)

// Streaming is the cost of sending large answers to slow readers through one router.
type Streaming struct {
	Readers      int `json:"readers"`
	AnswerMB     int `json:"answer_mb"`
	RateMBSecond int `json:"rate_mb_per_second"`
	// RouterBeforeMB and RouterAfterMB are the router's peak memory before and after.
	RouterBeforeMB float64 `json:"router_before_mb"`
	RouterAfterMB  float64 `json:"router_after_mb"`
	Whole          int     `json:"whole_answers"`
	// The Others fields describe requests of the compared stream sent at the same time.
	OthersOK     int     `json:"others_ok"`
	OthersFailed int     `json:"others_failed"`
	OthersP50    float64 `json:"others_p50_us"`
	OthersP99    float64 `json:"others_p99_us"`
}

// streaming lets slow readers receive large answers through one router while a
// closed loop sends small requests through the same router.
func (m *measurement) streaming(ctx context.Context, report *Report) error {
	prefix := m.largePrefix()
	nodes := m.fleet.NodesInPool(m.options.Shape.PoolOf(prefix))
	if err := m.setKnobs(nodes, standin.Knobs{SlowFactor: minServiceTimeFactor}); err != nil {
		return err
	}
	result := &report.Streaming
	result.Readers, result.AnswerMB, result.RateMBSecond = slowReaders, largeAnswer/megabyte, slowRate/megabyte
	router := m.fleet.Routers[0]
	result.RouterBeforeMB = float64(router.Usage().PeakRSSBytes) / megabyte
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
	result.Whole = slowReaders
	result.RouterAfterMB = float64(router.Usage().PeakRSSBytes) / megabyte
	result.OthersOK, result.OthersFailed = others.OK, others.Failed
	result.OthersP50, result.OthersP99 = others.Quantiles()
	return nil
}

// largePrefix returns the path prefix of the unkeyed service with the largest answers.
func (m *measurement) largePrefix() string {
	largest := &m.options.Shape.Streams[0]
	for i := range m.options.Shape.Streams {
		if stream := &m.options.Shape.Streams[i]; stream.Bytes > largest.Bytes && stream.Keys == 0 {
			largest = stream
		}
	}
	return largest.Prefixes[0]
}

// readSlowly reads a large answer at slowRate and verifies every byte.
func readSlowly(ctx context.Context, address, prefix, run string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return eris.Wrapf(err, "dial %s", address)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_, err = fmt.Fprintf(conn, "GET %s/large?%s=%d HTTP/1.1\r\nHost: fleet\r\n%s: %s\r\n\r\n", prefix, standin.QueryBytes, largeAnswer, standin.HeaderRun, run)
	if err != nil {
		return eris.Wrap(err, "request a large answer")
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, readBufferSize), nil)
	if err != nil {
		return eris.Wrap(err, "read the header of a large answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("request %s was answered with status %d", run, response.StatusCode)
	}
	if err := upstream.CheckHeader(response.Header); err != nil {
		return err
	}
	return compareSlowly(response.Body, run)
}

func compareSlowly(body io.Reader, run string) error {
	line := standin.Body(run, 1)
	// The buffer holds whole lines, so that every read starts at the beginning of a line.
	want := bytes.Repeat(line, readBufferSize/len(line))
	got := make([]byte, len(want))
	started := time.Now()
	total := 0
	for {
		count, err := io.ReadFull(body, got)
		if !bytes.Equal(got[:count], want[:count]) {
			return eris.Errorf("answer to %s differs from the expected content after %d bytes", run, total)
		}
		total += count
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return eris.Wrapf(err, "answer to %s was cut after %d bytes", run, total)
		}
		due := time.Duration(float64(total) / slowRate * float64(time.Second))
		time.Sleep(due - time.Since(started))
	}
	if total != largeAnswer {
		return eris.Errorf("answer to %s ended after %d of %d bytes", run, total, largeAnswer)
	}
	return nil
}
