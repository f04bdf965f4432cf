package silence

import (
	"testing"
	"time"
)

// groupModel is a group of four endpoints, some of which have requests of one observer.
type groupModel struct {
	t   Tracker
	now time.Time
}

const modelStep = 100 * time.Millisecond

func newGroupModel(answering ...string) *groupModel {
	m := &groupModel{now: time.Unix(1000, 0)}
	m.t.Advance(nobodyUnseen, m.now)
	for _, id := range answering {
		m.t.Sent(id, "g")
		m.progress(id)
		m.t.Begun(id)
	}
	m.advance(modelStep)
	return m
}

func nobodyUnseen(string) bool { return false }

func (m *groupModel) progress(id string) {
	m.t.Heard(id, m.now)
	m.t.Progressed(id)
}

// advance advances the clock by d without a part of an answer.
func (m *groupModel) advance(d time.Duration) {
	for range d / modelStep {
		m.now = m.now.Add(modelStep)
		m.t.Advance(nobodyUnseen, m.now)
	}
}

func (m *groupModel) want(t *testing.T, want time.Duration) {
	t.Helper()
	if got := m.t.Standing("g"); got != want {
		t.Errorf("standing for %v, want %v", got, want)
	}
}

// Guards against a standing group that looks as if it went on, and against a group that counts as standing
// because one endpoint, or nobody, is silent.
func TestStandingIsMeasured(t *testing.T) {
	const lasting = time.Second
	for name, c := range map[string]struct {
		answering []string
		during    func(m *groupModel)
		want      time.Duration
	}{
		"two answers pause":         {[]string{"a", "b"}, func(m *groupModel) { m.advance(lasting) }, lasting},
		"one answer pauses":         {[]string{"a"}, func(m *groupModel) { m.advance(lasting) }, 0},
		"no requests":               {nil, func(m *groupModel) { m.advance(lasting) }, 0},
		"another endpoint answers":  {[]string{"a", "b", "c"}, func(m *groupModel) { m.advance(lasting); m.progress("c") }, 0},
		"requests are turned away":  {[]string{"a", "b"}, func(m *groupModel) { m.advance(lasting); m.t.Heard("a", m.now) }, lasting},
		"the callers have left":     {[]string{"a", "b"}, func(m *groupModel) { m.advance(lasting / 2); m.leave(); m.advance(lasting / 2) }, lasting},
		"nobody uses it any longer": {[]string{"a", "b"}, func(m *groupModel) { m.advance(lasting); m.leave(); m.advance(maxStanding + lasting) }, 0},
		"the observer stands still": {[]string{"a", "b"}, func(m *groupModel) { m.now = m.now.Add(lasting); m.t.Advance(nobodyUnseen, m.now) }, maxStep},
	} {
		t.Run(name, func(t *testing.T) {
			m := newGroupModel(c.answering...)
			c.during(m)
			m.want(t, c.want)
		})
	}
}

// leave ends all requests.
func (m *groupModel) leave() {
	m.t.Ended("a", true)
	m.t.Ended("b", true)
}
