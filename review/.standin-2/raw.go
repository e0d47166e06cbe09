package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// rawInstance is an instance whose answers are written byte by byte.
type rawInstance struct {
	*instance
	// answer writes the answer to a request and reports whether the connection is kept.
	answer func(conn net.Conn, reader *bufio.Reader, r *http.Request) bool
}

// startRaw starts such an instance beside a sidecar.
func startRaw(side *machine, id string, answer func(conn net.Conn, reader *bufio.Reader, r *http.Request) bool) *rawInstance {
	i := &rawInstance{instance: &instance{service: side.service, id: id, side: side, quit: make(chan struct{})}, answer: answer}
	listener, err := net.Listen("tcp", side.appAddr)
	if err != nil {
		cannotRun("instance %s: %v", id, err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	go i.beat()
	return i
}

func (i *rawInstance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nLimehold-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", i.id)
			continue
		}
		if target := request.Header.Get("Limehold-Target-Instance"); target != i.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nLimehold-Not-Executed: 1\r\nLimehold-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Limehold-Request-Id"))
			continue
		}
		if !i.answer(conn, reader, request) {
			return
		}
	}
}

// ran records that the instance has begun to work on a request.
func (i *rawInstance) ran(r *http.Request) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.runs = append(i.runs, run{at: time.Now(), instance: i.id, id: r.Header.Get("Limehold-Request-Id"), method: r.Method, target: r.RequestURI})
	record("ran", "instance=%s id=%s %s %s", i.id, r.Header.Get("Limehold-Request-Id"), r.Method, r.RequestURI)
}

func head(status, id string, more ...string) string {
	return "HTTP/1.1 " + status + "\r\nLimehold-Request-Id: " + id + "\r\nLimehold-Server-Seal: seal-" + id + "\r\n" + strings.Join(more, "\r\n") + "\r\n\r\n"
}

// prepare returns a deployment that is not started.
func prepare(services []string) *deployment {
	folder := temporary()
	d := newDeployment(folder, services)
	current = d
	return d
}
