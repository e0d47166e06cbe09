package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["ids"] = changedIDs }

// changedIDs: clients whose request ids are long. With TROUBLE=0 the ids are short.
func changedIDs() {
	d, nodes := setUp([]string{"orders", "orders", "shops"}, nil)
	d.put("0", config("r1", route("r-orders", "/orders/", "unsafe", "orders", 3, 2), service("orders", false), service("shops", false)))
	d.awaitReady(waitLimit)
	d.awaitServed("/orders/ready")
	const orders, length = 60, 160
	sent := map[string]bool{}
	foreign := 0
	for n := range orders {
		id := fmt.Sprintf("order-%d", n)
		if withTrouble() {
			id += "-" + strings.Repeat("0123456789abcdef", length/16)[:length-len(id)-1]
		}
		sent[id] = true
		record("sent", "id=%s", id)
		status, header, _, err := call("POST", "http://"+d.sidecars[n%3].ports["outbound"]+"/orders/x", map[string]string{"Host": testHost, "Limehold-Request-Id": id, "Limehold-Deadline-Ms": "2500"}, []byte("x"))
		answered := header.Get("Limehold-Request-Id")
		record("answered", "id=%s status=%d %v", answered, status, err)
		if err == nil && status == 200 && answered != id {
			foreign++
		}
	}
	time.Sleep(500 * time.Millisecond)
	ran, unasked := 0, 0
	for _, node := range nodes {
		for _, one := range node.allRuns() {
			if strings.HasPrefix(one.id, "ready-") {
				continue
			}
			ran++
			if !sent[one.id] {
				unasked++
				record("unasked", "instance=%s ran id=%s, which no client sent", one.instance, one.id)
			}
		}
	}
	if ran == 0 {
		cannotRun("no order ran")
	}
	if unasked > 0 {
		end(broken, "UNASKED: of %d orders that ran, instances ran %d under an id that no client sent; %d successes carry an id that their client did not send", ran, unasked, foreign)
	}
	end(held, "held: %d orders ran, each under the id that its client sent", ran)
}
