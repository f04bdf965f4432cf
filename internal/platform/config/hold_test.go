package config

import (
	"fmt"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// A data centre is disconnected from the platform and its operator takes it out
// of service. The order must take effect there at once and reach the document
// when the connection is back. After others have returned the data centre to
// service, a process that missed hundreds of changes must not write its hold
// again.
func TestHoldIsWrittenAfterPartition(t *testing.T) {
	withSystem(t, 3, func(s *system) {
		s.processes[0].partitioned, s.processes[1].partitioned = true, true
		_, err := s.submit(0, "hold", 0, TakeOutOfService{Target: north})
		wantCode(t, err, result.HeldLocally)
		s.exchange(0, 1)
		s.wantOutOfService(0, north, true)
		s.wantOutOfService(1, north, true)
		s.mustSubmit(2, "other", TakeOutOfService{Target: Endpoint("x")})
		s.processes[0].partitioned = false
		s.repair(0)
		if h := s.readStored(2); !h.IsOutOfService(north) || !h.IsOutOfService(Endpoint("x")) {
			t.Errorf("the hold or the concurrent order is missing in the document: %s", h.Encode())
		}
		s.mustSubmit(2, "in", ReturnToService{Target: north})
		for i := range 2 * maxRecent {
			s.mustSubmit(2, fmt.Sprint("c", i), PutPreset{Name: "day", Body: []byte{byte(i)}})
		}
		s.wantOutOfService(1, north, true)
		s.processes[1].partitioned = false
		s.repair(1)
		s.wantOutOfService(1, north, false)
		if h := s.readStored(2); h.IsOutOfService(north) {
			t.Error("the hold was written again after the data centre was returned to service")
		}
	})
}

// In a disconnected data centre a hold is released after another process has
// already written it into the document, and an operator elsewhere has taken the
// same target out as well. The release must remove only the entry of that hold.
func TestReleaseEndsOnlyItsHold(t *testing.T) {
	withSystem(t, 3, func(s *system) {
		s.processes[0].partitioned, s.processes[1].partitioned = true, true
		_, err := s.submit(0, "hold", 0, TakeOutOfService{Target: north})
		wantCode(t, err, result.HeldLocally)
		_, err = s.submit(0, "hold2", 0, TakeOutOfService{Target: Endpoint("x")})
		wantCode(t, err, result.HeldLocally)
		s.exchange(0, 1)
		s.processes[1].partitioned = false
		s.repair(1)
		s.mustSubmit(2, "theirs", TakeOutOfService{Target: Endpoint("x")})
		for _, target := range []Target{north, Endpoint("x")} {
			_, err = s.submit(0, "in-"+target.Name(), 0, ReturnToService{Target: target})
			wantCode(t, err, result.HeldLocally)
			s.wantOutOfService(0, target, false)
		}
		s.processes[0].partitioned = false
		s.repair(0)
		if h := s.readStored(2); h.IsOutOfService(north) || !h.IsOutOfService(Endpoint("x")) {
			t.Errorf("after the release: %s", h.Encode())
		}
	})
}

// A peer that has the hold but not its release must not write the hold into the
// document.
func TestReleasedHoldStaysReleased(t *testing.T) {
	withSystem(t, 2, func(s *system) {
		s.processes[0].partitioned, s.processes[1].partitioned = true, true
		_, _ = s.submit(0, "hold", 0, TakeOutOfService{Target: north})
		s.exchange(0, 1)
		_, err := s.submit(0, "in", 0, ReturnToService{Target: north})
		wantCode(t, err, result.HeldLocally)
		s.processes[0].partitioned = false
		s.repair(0)
		s.processes[1].partitioned = false
		s.repair(1)
		if h := s.readStored(0); h.IsOutOfService(north) {
			t.Errorf("the released hold was written: %s", h.Encode())
		}
		s.wantOutOfService(1, north, false)
	})
}

func TestExchangeIsSmallWhenEqual(t *testing.T) {
	withSystem(t, 2, func(s *system) {
		s.mustSubmit(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		s.exchange(1, 0)
		p, body, ok := s.processes[1].Store.Current().Preset()
		if !ok || p.Name() != "day" || string(body) != "d" {
			t.Errorf("preset %v, body %q", p, body)
		}
		reply, _, err := s.processes[0].Store.HandleMessage(s.processes[1].Store.DigestMessage(), nil)
		if err != nil || len(reply) > 100 {
			t.Errorf("a reply between equal stores has %d bytes, error %v", len(reply), err)
		}
		if _, _, err := s.processes[0].Store.HandleMessage([]byte(`{"digest":"","head":{}}`), nil); err != nil {
			t.Errorf("an empty head was rejected: %v", err)
		}
		if _, _, err := s.processes[0].Store.HandleMessage([]byte("x"), nil); err == nil {
			t.Error("a malformed message was accepted")
		}
	})
}

// A process has a local hold while the document has no room for another entry.
// An order that makes room must be accepted, and the hold is written after it.
func TestFullDocumentStillAcceptsChanges(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		h := Head{}
		for i := range maxOutOfService {
			h = mustApply(s.T, h, fmt.Sprint("out", i), TakeOutOfService{Target: Endpoint(fmt.Sprint(i))})
		}
		_, _, err := s.processes[0].compareAndSwap(s.Context(), storedHead{}, h)
		wantCode(t, err, result.OK)
		s.processes[0].partitioned = true
		_, err = s.submit(0, "hold", 0, TakeOutOfService{Target: north})
		wantCode(t, err, result.HeldLocally)
		s.processes[0].partitioned = false
		s.mustSubmit(0, "in", ReturnToService{Target: Endpoint("0")})
		s.wantOutOfService(0, north, true)
		s.repair(0)
		if h := s.readStored(0); !h.IsOutOfService(north) {
			t.Error("the hold was not written when there was room")
		}
	})
}
