package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["surplus"] = surplusRefusal }

// surplusRefusal: the only instance of a service is full now and then and refuses orders, and sends surplus
// copies of some refusals, which are no more than surplusShare of its answers in troubleTime.
func surplusRefusal() {
	const (
		late      = 5 * time.Millisecond
		fullShare = 0.1
		workers   = 8
		// attempts is max_attempts of the route.
		attempts = 3
	)
	d := prepare([]string{"orders", "shops"})
	var troubleUntil atomic.Int64
	var answers, surpluses atomic.Int64
	var node *rawInstance
	node = startRaw(d.sidecars[0], "i-orders", func(conn net.Conn, _ *bufio.Reader, r *http.Request) bool {
		id := r.Header.Get("Limehold-Request-Id")
		if _, err := io.ReadAll(r.Body); err != nil {
			return false
		}
		answer := ""
		if r.URL.Path == "/orders/x" && rand.Float64() < fullShare {
			answer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nLimehold-Request-Id: %s\r\nLimehold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			record("refused", "id=%s", id)
		} else {
			node.ran(r)
			time.Sleep(30 * time.Millisecond)
			answer = head("200 OK", id, "Content-Length: 5") + "hello"
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return false
		}
		if time.Now().UnixNano() >= troubleUntil.Load() {
			return true
		}
		answers.Add(1)
		if strings.HasPrefix(answer, "HTTP/1.1 503") && float64(surpluses.Load()+1) <= surplusShare*float64(answers.Load()) {
			surpluses.Add(1)
			time.AfterFunc(late, func() {
				_, _ = io.WriteString(conn, answer)
				record("surplus", "copy of the answer to id=%s, %v late", id, late)
			})
		}
		return true
	})
	startInstance(d.sidecars[1], "i-shops", false)
	d.start()
	d.put("0", config("r1", route("r-orders", "/orders/", "unsafe", "orders", 2, attempts), service("orders", false), service("shops", false)))
	d.awaitReady(waitLimit)
	d.awaitServed("/orders/ready")
	if withTrouble() {
		troubleUntil.Store(time.Now().Add(troubleTime).UnixNano())
	}
	promised := map[string]int{}
	var mutex sync.Mutex
	var group sync.WaitGroup
	until := time.Now().Add(troubleTime + time.Second)
	for worker := range workers {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("order-%d-%d", worker, n)
				status, header, _, err := call("POST", "http://"+d.sidecars[1].ports["outbound"]+"/orders/x", map[string]string{"Host": testHost, "Limehold-Request-Id": id, "Limehold-Deadline-Ms": "1500"}, []byte("x"))
				record("answered", "id=%s status=%d retry-after=%s %v", id, status, header.Get("Retry-After"), err)
				switch status {
				case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
					mutex.Lock()
					promised[id] = status
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	wrong, twice, runs := 0, 0, node.allRuns()
	count := map[string]int{}
	for _, one := range runs {
		if count[one.id]++; count[one.id] == 2 {
			twice++
			record("twice", "id=%s has run more than once", one.id)
		}
		if status := promised[one.id]; status > 0 {
			wrong++
			record("wrong", "id=%s was answered %d and has run", one.id, status)
		}
	}
	if len(runs) == 0 {
		cannotRun("no order ran")
	}
	if twice+wrong > 0 {
		end(broken, "TWICE: %d orders ran more than once; REFUSED: %d ran although their clients got a status that promises that they never will (%d surplus copies among %d answers of these seconds)", twice, wrong, surpluses.Load(), answers.Load())
	}
	end(held, "held: none of %d refused orders ran; %d ran", len(promised), len(runs))
}
