package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

// Guards against an entry that sends the complete state to all that start at once, so that none has it
// soon and can send it on, and against one whose places stay taken by those that have given up.
func TestFirstStateIsSentToFewAtATime(t *testing.T) {
	var s firstStateSender
	now := time.Unix(1000, 0)
	members := map[string]fleet.Member{}
	for i := range maxFirstTransfers + 1 {
		name := fmt.Sprint("entry", i)
		members[name] = fleet.Member{Name: name, Address: "10.0.0.1:1"}
		if got, want := s.begin(name, now), i < maxFirstTransfers; got != want {
			t.Errorf("transfer %d begins: %v", i, got)
		}
	}
	if !s.begin("entry0", now) {
		t.Error("a transfer that has begun doesn't go on")
	}
	if h := s.holders(members, "entry4", now); len(h) > 0 {
		t.Errorf("%v are named before anyone has the state", h)
	}
	s.end("entry0", now)
	if !s.begin("entry4", now) {
		t.Error("no place is free after a transfer has ended")
	}
	if h := s.holders(members, "entry4", now); len(h) != 1 || h[0].GetName() != "entry0" || h[0].GetAddress() == "" {
		t.Errorf("%v are named, want entry0", h)
	}
	if h := s.holders(members, "entry0", now); len(h) > 0 {
		t.Errorf("an entry is referred to itself: %v", h)
	}
	now = now.Add(holderValidity + time.Second)
	if h := s.holders(members, "entry4", now); len(h) > 0 {
		t.Errorf("%v are named long after they got the state", h)
	}
	for i := range maxFirstTransfers {
		if !s.begin(fmt.Sprint("later", i), now) {
			t.Error("a place stays taken by an entry that no longer asks")
		}
	}
}
