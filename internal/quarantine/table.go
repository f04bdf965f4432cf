package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashesToRefuse is the number of endpoints that must have ended under a part which no answer is
	// known to have had. One or two may be coincidence.
	crashesToRefuse = 3
	// crashesToRefuseAnswered is the same for a part that was answered before. Requests that share
	// their first part with most others are on every endpoint that ends.
	crashesToRefuseAnswered = 5
	// minOtherAnswers is the number of answers to requests without such a part that must have begun
	// since the first of those ends. If the part were sound, it would be in one of them.
	minOtherAnswers = 10
	// minSpan is the least time from the first to the last of the ends. Endpoints that lose their
	// power, or are killed, together end within less.
	minSpan = 300 * time.Millisecond
	// suspicionTime is for how long a part is refused after several ends that came together.
	suspicionTime = time.Second
	// caseTTL is how long a case is kept after its last event: a part that nobody asks for any more
	// is forgotten.
	caseTTL = 10 * time.Minute
	// trialInterval is the time without a crash or a trial after which one request with a refused part
	// is let through, to find out whether it was refused by mistake.
	trialInterval = 5 * time.Minute
	// explainedTrialInterval is the same if another refused part, which the request lacks, explains
	// all ends.
	explainedTrialInterval = time.Second
	// maxCases bounds the number of parts with a case. The IDs come from callers.
	maxCases = 256
	// recentTime is for how long a change is reported in each message to the other entries, and
	// maxRecent the greatest number of cases in one message.
	recentTime = 500 * time.Millisecond
	maxRecent  = 8
	// maxExchanged is the greatest number of cases in one exchange, which holds those with the most
	// crashes.
	maxExchanged = 16
)

// Table holds the cases that one entry knows. The zero value is empty.
type Table struct {
	answered answeredParts
	cases    map[string]*record
}

// record is a case with what only this entry knows about it.
type record struct {
	Case

	// otherAnswers counts the answers that began here to requests without the part since the first of
	// the crashes.
	otherAnswers int
	// changedAt is when this entry last changed the case itself.
	changedAt time.Time
	// refusalReported means that the last change that was reported is a refusal.
	refusalReported bool
}

// Change is a change of what is held against a part: Suspected, Refused, Cleared or Tried.
type Change interface{ change() }

// Suspected means that one more crash has the part refused.
type Suspected struct{ Case Case }

// Refused means that requests with the part are refused from now on.
type Refused struct{ Case Case }

// Cleared means that requests with the part are no longer refused.
type Cleared struct{ Case Case }

// Tried means that a request with the part is let through although the part is refused.
type Tried struct{ Case Case }

func (Suspected) change() {}
func (Refused) change()   {}
func (Cleared) change()   {}
func (Tried) change()     {}

// Answered records that an answer began to a request with the given parts. It returns what changed.
func (t *Table) Answered(parts []string, now time.Time) []Change {
	for _, part := range parts {
		t.answered.add(part, now)
	}
	var changes []Change
	for _, r := range t.cases {
		if !slices.Contains(parts, r.Part) {
			r.otherAnswers++
			continue
		}
		if len(r.Crashes) == 0 {
			continue
		}
		changes = append(changes, t.update(r, now, func() {
			r.AnsweredAt, r.changedAt = now, now
			r.clear()
		})...)
	}
	return changes
}

// Crashed records that an endpoint ended under a request with the given parts before its answer
// began. It returns what changed.
func (t *Table) Crashed(parts []string, crash Crash) []Change {
	var changes []Change
	for _, part := range parts {
		r := t.record(part)
		changes = append(changes, t.update(r, crash.At, func() {
			if r.add(crash) {
				r.changedAt = crash.At
			}
		})...)
	}
	return changes
}

// Merge adds a case that another entry reports. It returns what changed.
func (t *Table) Merge(reported Case, now time.Time) []Change {
	if now.Sub(reported.latest()) > caseTTL {
		return nil
	}
	r := t.record(reported.Part)
	known := r.AnsweredAt
	return t.update(r, now, func() {
		r.merge(reported)
		if known.Sub(reported.AnsweredAt) > clockTolerance && len(reported.Crashes) > 0 {
			// The other entry does not know that the part was answered.
			r.changedAt = now
		}
	})
}

// Restore adds a case that was stored before this entry started, unless the part is known here. It
// returns what changed.
func (t *Table) Restore(stored Case, now time.Time) []Change {
	if t.cases[stored.Part] != nil || !t.answered.at(stored.Part).IsZero() {
		return nil
	}
	stored.AskedAt = now
	return t.Merge(stored, now)
}

// Lasting returns the cases of parts that are refused until an answer begins, nobody asks for them or
// operators lift them.
func (t *Table) Lasting(now time.Time) []Case {
	var lasting []*record
	for _, r := range t.cases {
		if r.isRefused(now) && (r.ordered() || r.span() >= minSpan) {
			lasting = append(lasting, r)
		}
	}
	return clones(lasting)
}

// Order has a part refused by order of an operator.
func (t *Table) Order(part string, now time.Time) []Change {
	r := t.record(part)
	return t.update(r, now, func() { r.OrderedAt, r.changedAt = now, now })
}

// Lift ends the refusal of a part by order of an operator. Endpoints that end under it from now on
// have it refused again.
func (t *Table) Lift(part string, now time.Time) []Change {
	r := t.record(part)
	return t.update(r, now, func() {
		r.LiftedAt, r.changedAt = now, now
		r.clear()
	})
}

// Check decides whether a request is refused, and returns the case that has it refused, or nil.
// mayTry reports whether this entry is the one that lets requests with a part through as a trial;
// it is asked about the first of the refused parts.
// Check returns what changed.
func (t *Table) Check(account string, parts []string, mayTry func(part string) bool, now time.Time) (*Case, []Change) {
	var refused []*record
	for _, part := range parts {
		if r := t.cases[part]; r != nil && r.refuses(account, now) {
			r.AskedAt = now
			refused = append(refused, r)
		}
	}
	for i, r := range refused {
		if !t.mayTry(r, account, parts, now) || i == 0 && !mayTry(r.Part) {
			c := r.clone()
			return &c, nil
		}
	}
	var changes []Change
	for _, r := range refused {
		r.TriedAt, r.changedAt = now, now
		changes = append(changes, Tried{Case: r.clone()})
	}
	return nil, changes
}

// Refuses reports whether a request is refused. Unlike Check it lets none through as a trial.
func (t *Table) Refuses(account string, parts []string, now time.Time) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		r := t.cases[part]
		return r != nil && r.refuses(account, now)
	})
}

// Suspects reports whether one more crash has one of the parts refused, or it is refused already.
func (t *Table) Suspects(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		r := t.cases[part]
		return r != nil && len(r.Crashes) >= r.crashesToRefuse()-1
	})
}

// Cases returns the cases that hold something against their parts, the most crashes first. Their
// number is bounded by maxExchanged.
func (t *Table) Cases() []Case {
	var held []*record
	for _, r := range t.cases {
		if r.weight() > 0 {
			held = append(held, r)
		}
	}
	slices.SortFunc(held, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Part, b.Part))
	})
	return clones(held[:min(len(held), maxExchanged)])
}

// Reply returns the cases for an entry that has told of others: those that hold something against
// their parts, and those that it told of and that are cleared here.
func (t *Table) Reply(told []Case) []Case {
	out := t.Cases()
	for _, c := range told {
		if r := t.cases[c.Part]; r != nil && r.weight() == 0 {
			out = append(out, r.clone())
		}
	}
	return out
}

func clones(records []*record) []Case {
	out := make([]Case, 0, len(records))
	for _, r := range records {
		out = append(out, r.clone())
	}
	return out
}

// Recent returns the cases that this entry has just changed, those that were never answered first.
func (t *Table) Recent(now time.Time) []Case {
	var recent []*record
	for _, r := range t.cases {
		if now.Sub(r.changedAt) <= recentTime {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b *record) int {
		return cmp.Or(a.AnsweredAt.Compare(b.AnsweredAt), b.changedAt.Compare(a.changedAt), cmp.Compare(a.Part, b.Part))
	})
	return clones(recent[:min(len(recent), maxRecent)])
}

// RefusedParts returns the number of parts that are refused to some account.
func (t *Table) RefusedParts(now time.Time) int {
	n := 0
	for _, r := range t.cases {
		if r.isRefused(now) {
			n++
		}
	}
	return n
}

// IsRefused reports whether requests with the part of a case are refused to some account.
func (t *Table) IsRefused(part string, now time.Time) bool {
	r := t.cases[part]
	return r != nil && r.isRefused(now)
}

// record returns the case of a part, which is made if there is none.
func (t *Table) record(part string) *record {
	if r := t.cases[part]; r != nil {
		return r
	}
	if t.cases == nil {
		t.cases = map[string]*record{}
	}
	t.makeRoom()
	r := &record{Case: Case{Part: part, AnsweredAt: t.answered.at(part)}}
	t.cases[part] = r
	return r
}

// makeRoom deletes the case with the least against its part, and of several the oldest, if the table
// is full.
func (t *Table) makeRoom() {
	if len(t.cases) < maxCases {
		return
	}
	weakest := slices.MinFunc(slices.Collect(maps.Values(t.cases)), func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.weight(), b.weight()), a.latest().Compare(b.latest()), cmp.Compare(a.Part, b.Part))
	})
	delete(t.cases, weakest.Part)
}

// weight orders cases by how much is held against their parts.
func (r *record) weight() int {
	if r.ordered() {
		return maxCrashes + 1
	}
	return len(r.Crashes)
}

// Expire forgets the parts that nobody asks for any more. It returns what changed since the last
// call because time has passed.
func (t *Table) Expire(now time.Time) []Change {
	var changes []Change
	for _, r := range t.cases {
		changes = append(changes, r.refusalChange(now)...)
	}
	maps.DeleteFunc(t.cases, func(_ string, r *record) bool {
		expired := !r.ordered() && now.Sub(r.latest()) > caseTTL
		if expired && r.refusalReported {
			changes = append(changes, Cleared{Case: r.clone()})
		}
		return expired
	})
	return changes
}

// update applies f to a case and returns what it changed.
func (t *Table) update(r *record, now time.Time, f func()) []Change {
	before := len(r.Crashes)
	f()
	after, suspicious := len(r.Crashes), r.crashesToRefuse()-1
	if after == 0 || before == 0 {
		r.otherAnswers = 0
	}
	if changes := r.refusalChange(now); changes != nil {
		return changes
	}
	switch {
	case after < before && before >= suspicious:
		return []Change{Cleared{Case: r.clone()}}
	case after > before && after == suspicious:
		return []Change{Suspected{Case: r.clone()}}
	}
	return nil
}

// refusalChange returns the change from refused to not refused, or the reverse, that has not been
// reported yet.
func (r *record) refusalChange(now time.Time) []Change {
	refused := r.isRefused(now)
	if refused == r.refusalReported {
		return nil
	}
	r.refusalReported = refused
	if refused {
		return []Change{Refused{Case: r.clone()}}
	}
	return []Change{Cleared{Case: r.clone()}}
}

// crashesToRefuse returns the number of crashes from which on the part is refused.
func (r *record) crashesToRefuse() int {
	if r.AnsweredAt.IsZero() {
		return crashesToRefuse
	}
	return crashesToRefuseAnswered
}

// isRefused reports whether requests with the part are refused to some account.
func (r *record) isRefused(now time.Time) bool {
	if r.ordered() {
		return true
	}
	if len(r.Crashes) < r.crashesToRefuse() {
		return false
	}
	if !r.AnsweredAt.IsZero() && r.otherAnswers < minOtherAnswers {
		return false
	}
	return r.span() >= minSpan || now.Sub(r.lastCrash()) < suspicionTime
}

// refuses reports whether requests of an account with the part are refused.
func (r *record) refuses(account string, now time.Time) bool {
	return r.isRefused(now) && (r.ordered() || r.concerns(account))
}

// mayTry reports whether one request with a refused part may be let through now.
//
// Parts that always come together with a fatal one are refused with it, although they are sound. A
// request with such a part and without the fatal one shows that soon.
func (t *Table) mayTry(r *record, account string, parts []string, now time.Time) bool {
	if r.ordered() || len(r.Crashes) >= maxCrashes {
		return false
	}
	interval := trialInterval
	if t.explained(r, account, parts, now) {
		interval = explainedTrialInterval
	}
	return now.Sub(later(r.lastCrash(), r.TriedAt)) >= interval
}

// explained reports whether another refused part, which is not among parts, was in the requests of
// all crashes of r.
func (t *Table) explained(r *record, account string, parts []string, now time.Time) bool {
	for _, other := range t.cases {
		if other != r && !slices.Contains(parts, other.Part) && other.refuses(account, now) && r.explainedBy(&other.Case) {
			return true
		}
	}
	return false
}
