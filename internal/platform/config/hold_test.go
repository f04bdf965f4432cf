package config

import (
	"fmt"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// A data centre is cut off from the platform and its operator takes it out.
// The order must hold there at once, reach the document when the cut heals, and
// not come back after others have brought the data centre in again, even from a
// process that slept through hundreds of changes.
func TestHoldJoinsOnHeal(t *testing.T) {
	withSite(t, 3, func(s *site) {
		s.ps[0].cut, s.ps[1].cut = true, true
		_, err := s.submit(0, "hold", 0, TakeOut{Target: dc})
		wantCode(t, err, result.HeldLocally)
		s.exchange(0, 1)
		s.wantOut(0, dc, true)
		s.wantOut(1, dc, true)
		s.accept(2, "other", TakeOut{Target: Endpoint("x")})
		s.ps[0].cut = false
		s.repair(0)
		if h := s.wantStored(2); !h.IsOut(dc) || !h.IsOut(Endpoint("x")) {
			t.Errorf("the hold did not join: %s", h.Encode())
		}
		s.accept(2, "in", BringIn{Target: dc})
		for i := range 2 * maxRecent {
			s.accept(2, fmt.Sprint("c", i), PutPreset{Name: "day", Body: []byte{byte(i)}})
		}
		s.wantOut(1, dc, true)
		s.ps[1].cut = false
		s.repair(1)
		s.wantOut(1, dc, false)
		if h := s.wantStored(2); h.IsOut(dc) {
			t.Error("the hold came back after the data centre was brought in")
		}
	})
}

// Inside a cut-off data centre a hold is released while another process has
// written it into the document already, and an operator elsewhere has taken the
// same data centre out as well. The release ends the hold's order alone.
func TestReleaseEndsOnlyItsHold(t *testing.T) {
	withSite(t, 3, func(s *site) {
		s.ps[0].cut, s.ps[1].cut = true, true
		_, err := s.submit(0, "hold", 0, TakeOut{Target: dc})
		wantCode(t, err, result.HeldLocally)
		_, err = s.submit(0, "hold2", 0, TakeOut{Target: Endpoint("x")})
		wantCode(t, err, result.HeldLocally)
		s.exchange(0, 1)
		s.ps[1].cut = false
		s.repair(1)
		s.accept(2, "theirs", TakeOut{Target: Endpoint("x")})
		for _, target := range []Target{dc, Endpoint("x")} {
			_, err = s.submit(0, "in-"+target.Name(), 0, BringIn{Target: target})
			wantCode(t, err, result.HeldLocally)
			s.wantOut(0, target, false)
		}
		s.ps[0].cut = false
		s.repair(0)
		if h := s.wantStored(2); h.IsOut(dc) || !h.IsOut(Endpoint("x")) {
			t.Errorf("after the release: %s", h.Encode())
		}
	})
}

// A released hold must not be written by a peer that missed the release.
func TestReleasedHoldStaysReleased(t *testing.T) {
	withSite(t, 2, func(s *site) {
		s.ps[0].cut, s.ps[1].cut = true, true
		_, _ = s.submit(0, "hold", 0, TakeOut{Target: dc})
		s.exchange(0, 1)
		_, err := s.submit(0, "in", 0, BringIn{Target: dc})
		wantCode(t, err, result.HeldLocally)
		s.ps[0].cut = false
		s.repair(0)
		s.ps[1].cut = false
		s.repair(1)
		if h := s.wantStored(0); h.IsOut(dc) {
			t.Errorf("the released hold was written: %s", h.Encode())
		}
		s.wantOut(1, dc, false)
	})
}

func TestExchangeSendsLittleWhenEqual(t *testing.T) {
	withSite(t, 2, func(s *site) {
		s.accept(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		s.exchange(1, 0)
		p, body, ok := s.ps[1].Store.Current().Preset()
		if !ok || p.Name() != "day" || string(body) != "d" {
			t.Errorf("preset %v, body %q", p, body)
		}
		reply, _, err := s.ps[0].Store.Exchange(s.ps[1].Store.Summary(), nil)
		if err != nil || len(reply) > 100 {
			t.Errorf("%d bytes between equals, error %v", len(reply), err)
		}
		if _, _, err := s.ps[0].Store.Exchange([]byte(`{"digest":"","head":{}}`), nil); err != nil {
			t.Errorf("an empty head was refused: %v", err)
		}
		if _, _, err := s.ps[0].Store.Exchange([]byte("x"), nil); err == nil {
			t.Error("garbage was accepted")
		}
	})
}

// A data centre's hold meets a document that has no room for another order. An
// order that makes room must still be accepted, and the hold joins then.
func TestFullDocumentStillAcceptsChanges(t *testing.T) {
	withSite(t, 1, func(s *site) {
		h := Head{}
		for i := range maxOuts {
			h = mustApply(s.T, h, fmt.Sprint("out", i), TakeOut{Target: Endpoint(fmt.Sprint(i))})
		}
		_, _, err := s.ps[0].swap(s.Context(), stored{}, h)
		wantCode(t, err, result.OK)
		s.ps[0].cut = true
		_, err = s.submit(0, "hold", 0, TakeOut{Target: dc})
		wantCode(t, err, result.HeldLocally)
		s.ps[0].cut = false
		s.accept(0, "in", BringIn{Target: Endpoint("0")})
		s.wantOut(0, dc, true)
		s.repair(0)
		if h := s.wantStored(0); !h.IsOut(dc) {
			t.Error("the hold did not join when there was room")
		}
	})
}
