package ingress

import (
	"testing"
	"time"

	"limehold/clock"
)

// testInbound schedules bodies on a link of 8 Mbit/s, of which 0.85 MB a second are for bodies.
func testInbound() *inbound { return newInbound(8) }

func isReady(u *upload) bool {
	select {
	case <-u.ready:
		return true
	default:
		return false
	}
}

// Guards against bodies that all arrive at the same time, each of them late.
func TestBodiesAreAskedForOneAfterTheOther(t *testing.T) {
	s := testInbound()
	var all []*upload
	for range 6 {
		accepted, _ := s.announce(85_000, time.Second) // 100 ms each
		if accepted == nil {
			t.Fatal("a body that can arrive in time was rejected")
		}
		all = append(all, accepted)
	}
	for i := range all {
		for j, other := range all {
			if got, want := isReady(other), j <= i; got != want {
				t.Fatalf("after %d bodies arrived, body %d is asked for: %v, want %v", i, j, got, want)
			}
		}
		s.arrived(all[i])
	}
}

func TestBodiesThatWouldBeLateAreRejected(t *testing.T) {
	s := testInbound()
	accepted := 0
	for {
		next, excess := s.announce(85_000, 500*time.Millisecond)
		if next == nil {
			if excess <= 0 || excess > 200*time.Millisecond {
				t.Errorf("the body would be %v late, want up to 200ms", excess)
			}
			break
		}
		accepted++
	}
	if accepted != 5 {
		t.Errorf("%d bodies of 100 ms were accepted within 500 ms, want 5", accepted)
	}
	if load := s.load(); load != 500*time.Millisecond {
		t.Errorf("the link is taken for %v, want 500ms", load)
	}
}

// Guards against bodies whose requests have ended but which count for ever.
func TestEveryTransferEnds(t *testing.T) {
	for name, end := range map[string]func(*inbound, *upload){
		"arrived, request ended": func(s *inbound, u *upload) { s.arrived(u); s.release(u) },
		"request ended":          func(s *inbound, u *upload) { s.release(u) },
		"ended twice":            func(s *inbound, u *upload) { s.release(u); s.release(u); s.arrived(u) },
		"nobody tells": func(s *inbound, u *upload) {
			s.endAt(u, clock.Now()+time.Millisecond)
			deadline := time.Now().Add(10 * time.Second)
			for s.load() > s.transferTime(85_000) && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := testInbound()
			first, _ := s.announce(85_000, time.Second)
			second, _ := s.announce(85_000, time.Second)
			if s.memory() != 85_000 {
				t.Errorf("%v bytes are held, want those of the first", s.memory())
			}
			end(s, first)
			if !isReady(second) {
				t.Error("the second body is not asked for")
			}
			s.release(second)
			if s.load() != 0 || s.memory() != 0 {
				t.Errorf("the link is taken for %v, %v bytes are held", s.load(), s.memory())
			}
		})
	}
}

// Guards against a machine whose memory fills with bodies, also where the speed of the link is not known.
func TestBodiesInMemoryAreBounded(t *testing.T) {
	s := newInbound(0)
	count := 0
	for ; ; count++ {
		accepted, _ := s.announce(maxHeldBody, time.Second)
		if accepted == nil {
			break
		}
		s.arrived(accepted)
	}
	if count*maxHeldBody != maxBodyBytes {
		t.Errorf("%d bodies are held, want %d", count, maxBodyBytes/maxHeldBody)
	}
}
