package timeline

import (
	"testing"
	"time"
)

func assertKinds(t *testing.T, es []Event, want ...Kind) {
	t.Helper()
	if len(es) != len(want) {
		t.Fatalf("got %d events, want %d", len(es), len(want))
	}
	for i, e := range es {
		if e.Kind() != want[i] {
			t.Errorf("event %d is %s, want %s", i, e.Kind(), want[i])
		}
	}
}

func TestRing(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Ring{Clock: &Clock{}, Capacity: 3}
	r.Add(Admitted, "a", "", "", 0, now)
	r.Add(Placed, "a", "e1", "", 0, now)
	r.Add(Admitted, "b", "", "", 0, now)
	t.Run("keeps order", func(t *testing.T) {
		assertKinds(t, r.Select(Filter{}), Admitted, Placed, Admitted)
	})
	t.Run("drops the oldest", func(t *testing.T) {
		r.Add(Refused, "b", "", "", 2003, now)
		assertKinds(t, r.Select(Filter{}), Placed, Admitted, Refused)
	})
	t.Run("filters", func(t *testing.T) {
		assertKinds(t, r.Select(Filter{RequestID: "b"}), Admitted, Refused)
		assertKinds(t, r.Select(Filter{Endpoint: "e1"}), Placed)
		assertKinds(t, r.Select(Filter{Kind: Refused}), Refused)
		assertKinds(t, r.Select(Filter{Since: StampAt(now.Add(time.Second))}))
	})
}

// A VM's clock runs 40 ms behind that of its peer. Without the stamps on the
// messages, the agent's "accepted" would sort before the entry's "placed" that
// caused it, and an operator would read the story backwards.
func TestClockKeepsCauseBeforeEffect(t *testing.T) {
	ahead := time.Unix(1000, 0)
	behind := ahead.Add(-40 * time.Millisecond)
	var entry, agent Clock
	cause := entry.Next(ahead)
	agent.Observe(cause, behind)
	if effect := agent.Next(behind); effect <= cause {
		t.Errorf("effect %d sorts before its cause %d", effect, cause)
	}
}

// A VM comes up with its clock set to next year and sends one message. If the
// others followed it, their time lines would be a year off until they restart.
func TestClockIgnoresAbsurdStamps(t *testing.T) {
	now := time.Unix(1000, 0)
	var c Clock
	c.Observe(StampAt(now.AddDate(1, 0, 0)), now)
	if got := c.Next(now).Time(); !got.Equal(now) {
		t.Errorf("clock moved to %v", got)
	}
}

func BenchmarkRingAdd(b *testing.B) {
	r := &Ring{Clock: &Clock{}}
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		r.Add(Placed, "request", "endpoint", "", 1, now)
	}
}
