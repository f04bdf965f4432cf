package quarantine

import (
	"slices"
	"time"
)

const (
	// maxCrashes is the greatest number of crashes of a case that are kept.
	maxCrashes = 6
	// clockTolerance is by how much a time that another entry reports must be later than the known
	// one to replace it. Each report is off by the time of its transfer; without the tolerance, two
	// entries that repeat each other's reports would move a time on with each exchange.
	clockTolerance = 500 * time.Millisecond
)

// Crash is the end of an endpoint under a request.
type Crash struct {
	// Endpoint and Incarnation identify the instance that ended.
	Endpoint    string
	Incarnation uint64
	// Account is the account of the request, or "".
	Account string
	At      time.Time
	// Begun means that a part of the answer to the request had arrived. It is set for parts of prompts.
	Begun bool
	// Request is a hash of the request's fingerprint, or zero if it is not known. It is set for parts of
	// prompts.
	Request uint32
	// CallerLeft is the time that the request's caller had left. It is set for whole requests.
	CallerLeft time.Duration
}

func (c Crash) sameInstance(other Crash) bool {
	return c.Endpoint == other.Endpoint && c.Incarnation == other.Incarnation
}

// Case is what is known against one subject: a part of prompts or a whole request. A zero time means
// never.
type Case struct {
	// Subject is the ID of the part, or the fingerprint of the request.
	Subject string
	// Crashes are the ends of endpoints, of different instances, under requests with the subject since
	// an answer last got further than that, the oldest first.
	Crashes []Crash
	// AnsweredAt is when an answer to a request with the part last began, or when the request was last
	// answered completely. CompletedAt is when an answer to a request with the part was last complete;
	// it is not set for whole requests.
	AnsweredAt, CompletedAt time.Time
	// AskedAt is when a request with the subject was last refused, and TriedAt when one was last let
	// through although it is refused.
	AskedAt, TriedAt time.Time
	// FailedTrials counts the trials under which another endpoint ended.
	FailedTrials int
	// OrderedAt is when operators ordered that the subject be refused, and LiftedAt when they lifted
	// whatever was known against it.
	OrderedAt, LiftedAt time.Time
}

// ordered reports whether operators have ordered that the part be refused.
func (c *Case) ordered() bool { return c.OrderedAt.After(c.LiftedAt) }

// latest returns the time of the latest event of the case.
func (c *Case) latest() time.Time {
	latest := c.AnsweredAt
	for _, t := range []time.Time{c.CompletedAt, c.AskedAt, c.TriedAt, c.OrderedAt, c.LiftedAt} {
		latest = later(latest, t)
	}
	if n := len(c.Crashes); n > 0 {
		latest = later(latest, c.Crashes[n-1].At)
	}
	return latest
}

// begun reports whether one of the endpoints ended after a part of its answer had arrived.
func (c *Case) begun() bool {
	return slices.ContainsFunc(c.Crashes, func(crash Crash) bool { return crash.Begun })
}

// ofOneRequest reports whether all endpoints ended under one and the same request, which then says more
// against the request than against its parts.
func (c *Case) ofOneRequest() bool {
	for _, crash := range c.Crashes {
		if crash.Request == 0 || crash.Request != c.Crashes[0].Request {
			return false
		}
	}
	return true
}

// soundAt returns when an answer last got further than those under which endpoints ended, or zero if
// that is not known.
func (c *Case) soundAt() time.Time {
	if c.begun() {
		return c.CompletedAt
	}
	return later(c.AnsweredAt, c.CompletedAt)
}

// clearedAt returns the time up to which a crash like the given one says nothing, because an answer to
// a request with the subject has got further since or operators have lifted what was known.
func (c *Case) clearedAt(crash Crash) time.Time {
	if crash.Begun {
		return later(c.CompletedAt, c.LiftedAt)
	}
	return later(later(c.AnsweredAt, c.CompletedAt), c.LiftedAt)
}

// add adds a crash unless the same instance is known to have ended. It reports whether anything was
// new. An instance counts as one that ended after an answer had begun if any report says so: only a
// complete answer shows that it didn't end because of the subject.
func (c *Case) add(crash Crash) bool {
	if !crash.At.After(c.clearedAt(crash)) {
		return false
	}
	if i := slices.IndexFunc(c.Crashes, crash.sameInstance); i >= 0 {
		known := &c.Crashes[i]
		changed := crash.Begun && !known.Begun
		known.Begun = known.Begun || crash.Begun
		known.Request = min(known.Request, crash.Request) // of several, all entries keep the same
		if crash.At.Before(known.At) {
			known.At = crash.At
			c.sort()
		}
		return changed
	}
	if len(c.Crashes) >= maxCrashes {
		return false
	}
	c.Crashes = append(c.Crashes, crash)
	c.sort()
	return true
}

func (c *Case) sort() {
	slices.SortFunc(c.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// clear forgets the crashes that say nothing any more.
func (c *Case) clear() {
	c.Crashes = slices.DeleteFunc(c.Crashes, func(crash Crash) bool { return !crash.At.After(c.clearedAt(crash)) })
	if len(c.Crashes) == 0 {
		c.FailedTrials = 0
	}
}

// merge adds what another entry knows of the same subject and reports whether anything was new.
func (c *Case) merge(other Case) bool {
	changed := false
	for _, t := range []struct{ known, reported *time.Time }{
		{&c.AnsweredAt, &other.AnsweredAt},
		{&c.CompletedAt, &other.CompletedAt},
		{&c.AskedAt, &other.AskedAt},
		{&c.TriedAt, &other.TriedAt},
		{&c.OrderedAt, &other.OrderedAt},
		{&c.LiftedAt, &other.LiftedAt},
	} {
		if t.reported.Sub(*t.known) > clockTolerance {
			*t.known = *t.reported
			changed = true
		}
	}
	c.clear()
	for _, crash := range other.Crashes {
		changed = c.add(crash) || changed
	}
	if len(c.Crashes) > 0 {
		c.FailedTrials = max(c.FailedTrials, other.FailedTrials)
	}
	return changed
}

// clone returns a copy that shares nothing with c.
func (c *Case) clone() Case {
	out := *c
	out.Crashes = slices.Clone(c.Crashes)
	return out
}

// span returns the time from the first to the last crash.
func (c *Case) span() time.Duration {
	if len(c.Crashes) == 0 {
		return 0
	}
	return c.lastCrash().Sub(c.Crashes[0].At)
}

// lastCrash returns the time of the last crash, or zero if there is none.
func (c *Case) lastCrash() time.Time {
	if len(c.Crashes) == 0 {
		return time.Time{}
	}
	return c.Crashes[len(c.Crashes)-1].At
}

// concerns reports whether the crashes speak against the subject in requests of an account: its own
// requests are among them, or those of two others are. One account alone can't have a part refused
// that it shares with another.
func (c *Case) concerns(account string) bool {
	for _, crash := range c.Crashes {
		if crash.Account == account || crash.Account != c.Crashes[0].Account {
			return true
		}
	}
	return false
}

// explainedBy reports whether all crashes of c are also crashes of other.
func (c *Case) explainedBy(other *Case) bool {
	for _, crash := range c.Crashes {
		if !slices.ContainsFunc(other.Crashes, crash.sameInstance) {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
