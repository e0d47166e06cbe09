package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["body"] = shortBody }

// shortBody: clients leave while they send the body of an order. No instance may run an order with a part of its body.
func shortBody() {
	d, nodes := setUp([]string{"orders", "orders", "shops"}, nil)
	d.put("0", config("r1", route("r-orders", "/orders/", "unsafe", "orders", 3, 2), service("orders", false), service("shops", false)))
	d.awaitReady(waitLimit)
	d.awaitServed("/orders/ready")
	const orders, size = 200, 40000
	whole := map[string]string{}
	for n := range orders {
		id := fmt.Sprintf("order-%d", n)
		body := bytes.Repeat([]byte(fmt.Sprintf("%s pays 10;", id)), size/len(id)+1)[:size]
		whole[id] = sum(body)
		leaves := withTrouble() && n%4 == 3
		if err := sendOrder(d.sidecars[n%3].ports["outbound"], id, body, leaves); err != nil {
			record("failed", "id=%s %v", id, err)
		}
	}
	time.Sleep(2 * time.Second)
	changed, ran := 0, 0
	for _, node := range nodes {
		for _, one := range node.allRuns() {
			if want, sent := whole[one.id]; sent {
				ran++
				if one.bodySum != want {
					changed++
					record("changed", "id=%s instance=%s ran it with %d of %d bytes", one.id, one.instance, one.bodyBytes, size)
				}
			}
		}
	}
	if ran == 0 {
		cannotRun("no order ran")
	}
	if changed > 0 {
		end(broken, "UNASKED: of %d orders, instances ran %d with a body that was changed", orders, changed)
	}
	end(held, "held: %d orders ran, each with its whole body", ran)
}

// sendOrder sends one order on a connection of its own. A client that leaves sends half of the body and closes.
func sendOrder(address, id string, body []byte, leaves bool) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	head := fmt.Sprintf("POST /orders/%s HTTP/1.1\r\nHost: %s\r\nLimehold-Request-Id: %s\r\nLimehold-Deadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n", id, testHost, id, len(body))
	if leaves {
		_, err = conn.Write(append([]byte(head), body[:len(body)/2]...))
		record("left", "id=%s after %d of %d bytes", id, len(body)/2, len(body))
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	response.Body.Close()
	record("answered", "id=%s status=%d", id, response.StatusCode)
	return nil
}
