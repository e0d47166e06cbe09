package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["path"] = changedPath }

// changedPath: orders whose paths hold percent-encoded signs. With TROUBLE=0 the paths hold plain signs only.
func changedPath() {
	d, nodes := setUp([]string{"orders", "orders", "shops"}, nil)
	d.put("0", config("r1", route("r-orders", "/orders/", "unsafe", "orders", 3, 2), route("r-shops", "/shops/", "unsafe", "shops", 3, 2), service("orders", false), service("shops", false)))
	d.awaitReady(waitLimit)
	d.awaitServed("/orders/ready")
	forms := []string{"/orders/2026%%2F%d", "/orders/%d/a%%2Fb", "/orders/%d//b", "/orders/item%%2B%d", "/orders/%d/%%41", "/orders/../shops/%d"}
	if !withTrouble() {
		forms = []string{"/orders/2026-%d", "/orders/%d/a/b", "/orders/%d/b", "/orders/item-%d", "/orders/%d/A", "/orders/shops/%d"}
	}
	const orders = 60
	paths := map[string]string{}
	for n := range orders {
		id := fmt.Sprintf("order-%d", n)
		paths[id] = fmt.Sprintf(forms[n%len(forms)], n)
		if err := sendPath(d.sidecars[n%3].ports["outbound"], id, paths[id]); err != nil {
			record("failed", "id=%s %v", id, err)
		}
	}
	changed, ran := 0, 0
	for _, node := range nodes {
		for _, one := range node.allRuns() {
			if want, sent := paths[one.id]; sent {
				ran++
				if one.target != want {
					changed++
					record("changed", "id=%s instance=%s sent %s, ran %s", one.id, one.instance, want, one.target)
				}
			}
		}
	}
	if ran == 0 {
		cannotRun("no order ran")
	}
	if changed > 0 {
		end(broken, "UNASKED: of %d orders that ran, instances ran %d with a path that was changed", ran, changed)
	}
	end(held, "held: %d orders ran, each with the path that was sent", ran)
}

// sendPath sends one order on a connection of its own, with the path as it stands.
func sendPath(address, id, path string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	record("sent", "id=%s POST %s", id, path)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nLimehold-Request-Id: %s\r\nLimehold-Deadline-Ms: 2500\r\nContent-Length: 2\r\n\r\nok", path, testHost, id); err != nil {
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
