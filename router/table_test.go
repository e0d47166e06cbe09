package router

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"limehold/catalog"
	"limehold/wire"
)

func testTable() *table {
	return newTable(func(name string) *pool { return newPool(name, poolOptions{}) })
}

func serviceView(name string, revision uint64, prefix string) wire.ServiceView {
	spec := catalog.NewSpec()
	spec.Match, spec.Pool, spec.Keyed, spec.Shards = catalog.Match{PathPrefix: prefix}, "p", true, 2
	spec.Complete()
	return wire.ServiceView{Name: name, Revision: revision, Spec: spec}
}

func shardViews(service string, list ...wire.ShardView) []wire.ServiceShards {
	return []wire.ServiceShards{{Service: service, Shards: list}}
}

// A router that reconnects to a member that lags must not apply its older state.
func TestOlderUpdateIsNeverApplied(t *testing.T) {
	is := is.New(t)
	tbl := testTable()
	is.True(tbl.apply(&wire.Update{Snapshot: true, Revision: 10, Services: []wire.ServiceView{serviceView("a", 10, "/new")}}))
	is.True(tbl.apply(&wire.Update{Snapshot: true, Revision: 8, Services: []wire.ServiceView{serviceView("a", 8, "/old")}}))
	is.True(tbl.apply(&wire.Update{From: 7, Revision: 8, RemovedServices: []string{"a"}}))
	is.Equal(tbl.currentRevision(), uint64(10))
	found, _ := tbl.find("", "/new/x")
	is.True(found != nil)
	found, _ = tbl.find("", "/old/x")
	is.True(found == nil)
}

func TestGapAsksForASnapshot(t *testing.T) {
	is := is.New(t)
	tbl := testTable()
	is.True(tbl.apply(&wire.Update{Snapshot: true, Revision: 10}))
	is.Equal(tbl.apply(&wire.Update{From: 12, Revision: 13}), false)
	is.Equal(tbl.currentRevision(), uint64(10))
	is.True(tbl.apply(&wire.Update{From: 10, Revision: 13}))
	is.Equal(tbl.currentRevision(), uint64(13))
}

func TestEpochsOfShardsOnlyRise(t *testing.T) {
	is := is.New(t)
	tbl := testTable()
	tbl.apply(&wire.Update{Snapshot: true, Revision: 1, Services: []wire.ServiceView{serviceView("a", 1, "/a")}, Shards: shardViews("a", wire.ShardView{Shard: 0, Owner: 5, Epoch: 7})})
	tbl.apply(&wire.Update{From: 1, Revision: 2, Shards: shardViews("a", wire.ShardView{Shard: 0, Owner: 4, Epoch: 6})})
	entry, _, _ := tbl.owner(tbl.services["a"], 0)
	is.Equal(int(entry.owner), 5)
}

func TestSnapshotRemovesWhatItDoesNotName(t *testing.T) {
	is := is.New(t)
	tbl := testTable()
	tbl.apply(&wire.Update{Snapshot: true, Revision: 1, Services: []wire.ServiceView{serviceView("a", 1, "/a"), serviceView("b", 1, "/b")}, Nodes: []wire.NodeView{{Session: 1, Pool: "p", Slots: 1, Connections: 1}}})
	tbl.apply(&wire.Update{Snapshot: true, Revision: 5, Services: []wire.ServiceView{serviceView("b", 1, "/b")}})
	found, _ := tbl.find("", "/a")
	is.True(found == nil)
	is.True(tbl.node(1) == nil)
}

func TestLongestPrefixOfWholeSegmentsWins(t *testing.T) {
	tbl := testTable()
	hosted := serviceView("hosted", 1, "/shop")
	hosted.Spec.Match.Host = "a.example"
	tbl.apply(&wire.Update{Snapshot: true, Revision: 1, Services: []wire.ServiceView{serviceView("shop", 1, "/shop"), serviceView("orders", 1, "/shop/orders"), hosted}})
	cases := []struct{ host, path, service, rest string }{
		{"", "/shop/orders/1", "orders", "/1"},
		{"", "/shop/ordersx", "shop", "/ordersx"},
		{"", "/shop", "shop", ""},
		{"", "/shop/", "shop", "/"},
		{"A.example:80", "/shop/1", "hosted", "/1"},
		{"", "/shopx", "", ""},
		{"", "/", "", ""},
	}
	for _, test := range cases {
		t.Run(test.host+test.path, func(t *testing.T) {
			is := is.New(t)
			found, rest := tbl.find(test.host, test.path)
			if test.service == "" {
				is.True(found == nil)
				return
			}
			is.True(found != nil)
			is.Equal(found.name, test.service)
			is.Equal(rest, test.rest)
		})
	}
}

// The view's age counts from the time at which the question was sent, and only once the
// revision named in the response has been applied.
func TestFreshnessCountsFromTheQuestion(t *testing.T) {
	is := is.New(t)
	var fresh freshness
	is.Equal(fresh.within(0, time.Hour), false)
	fresh.confirm(time.Minute, confirmation{sentAt: 10 * time.Second, revision: 5}, 4)
	is.Equal(fresh.within(10*time.Second, time.Hour), false) // revision 5 has not been applied yet
	is.Equal(fresh.lastConfirmed(), time.Duration(0))
	is.True(fresh.revisionApplied(time.Minute, 5))
	is.Equal(fresh.lastConfirmed(), time.Minute)
	is.True(fresh.within(12*time.Second, 2*time.Second))
	is.Equal(fresh.within(13*time.Second, 2*time.Second), false)
	is.Equal(fresh.confirm(time.Hour, confirmation{sentAt: 9 * time.Second, revision: 5}, 5), false) // an older response arrives late
	is.Equal(fresh.lastConfirmed(), time.Minute)
	is.True(fresh.within(12*time.Second, 2*time.Second))
}

func TestHopByHopAndInternalHeadersAreDropped(t *testing.T) {
	is := is.New(t)
	var header fasthttp.RequestHeader
	for name, value := range map[string]string{
		"X-Kept": "1", "X-Named": "1", "Te": "trailers", "Upgrade": "h2c", "limehold-epoch": "9", "Limehold-Anything": "x", "Keep-Alive": "1",
	} {
		header.Set(name, value)
	}
	removeHeaders(&header, []byte("X-Named, keep-alive"))
	is.Equal(string(header.Peek("X-Kept")), "1")
	for _, name := range []string{"X-Named", "Te", "Upgrade", "Limehold-Epoch", "Limehold-Anything", "Keep-Alive"} {
		is.Equal(len(header.Peek(name)), 0)
	}
}

func FuzzUnambiguous(f *testing.F) {
	f.Add([]byte("Host: a\r\nContent-Length: 5\r\n\r\n"))
	f.Add([]byte("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"))
	f.Add([]byte("A: b\r\n c\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if !unambiguous(raw) {
			return
		}
		// An unambiguous head has at most one field that frames the body.
		if countFold(raw, "content-length:")+countFold(raw, "transfer-encoding:") > 1 {
			t.Fatalf("two framing fields in %q", raw)
		}
	})
}

// countFold counts the lines of the head that begin with a name, ignoring case.
func countFold(raw []byte, name string) int {
	count := 0
	for start := 0; start < len(raw); {
		end := start
		for end < len(raw) && raw[end] != '\n' {
			end++
		}
		line := raw[start:end]
		if len(line) <= 1 {
			return count
		}
		if len(line) >= len(name) && equalFold(line[:len(name)], name) {
			count++
		}
		start = end + 1
	}
	return count
}

func equalFold(line []byte, name string) bool {
	for i := range line {
		c := line[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != name[i] {
			return false
		}
	}
	return true
}

// A planned stop does not reset connections that are not accepted yet.
func TestStoppedListenerAcceptsWhatWaits(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := newDrainListener(opened.(*net.TCPListener))
	const waiting = 5
	for range waiting {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
	}
	stopped := make(chan struct{})
	go func() {
		listener.stop()
		close(stopped)
	}()
	for range waiting {
		conn, err := listener.Accept()
		is.NoErr(err)
		conn.Close()
	}
	_, err = listener.Accept()
	is.True(err != nil)
	<-stopped
	_, err = net.Dial("tcp", listener.Addr().String())
	is.True(err != nil) // later callers cannot connect
}
