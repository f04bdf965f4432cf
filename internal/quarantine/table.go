package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// caseTTL is how long a case is kept after its last event: a subject that nobody asks for any more
	// is forgotten.
	caseTTL = 10 * time.Minute
	// briefCaseTTL is the same for a request under which one endpoint ended, or that was cleared.
	briefCaseTTL = time.Minute
	// maxCases bounds the number of subjects with a case. The IDs come from callers.
	maxCases = 256
)

// Table holds the cases that one entry knows, against parts of prompts or against whole requests. The
// zero value is an empty table of parts. Set the exported field before the first call.
type Table struct {
	// Rules are PartRules if nil.
	Rules Rules

	// answered holds the parts to which answers have begun, and completed those whose answers were
	// complete.
	answered, completed answeredParts

	cases map[string]*record
}

// record is a case with what only this entry knows about it.
type record struct {
	Case

	// otherAnswers counts the answers that began here to requests without the part since the first of
	// the crashes. It is used for parts alone.
	otherAnswers int
	// changedAt is when this entry last changed the case itself.
	changedAt time.Time
	// unsentTrial is the time of the last trial whose request was not sent, and failedTrial that of the
	// last crash under a trial.
	unsentTrial, failedTrial time.Time
	// refusalReported means that the last change that was reported is a refusal.
	refusalReported bool
}

// Change is a change of what is held against a subject: Suspected, Refused, Cleared or Tried.
type Change interface{ change() }

// Suspected means that one more crash has the subject refused.
type Suspected struct{ Case Case }

// Refused means that requests with the subject are refused from now on.
type Refused struct{ Case Case }

// Cleared means that requests with the subject are no longer refused.
type Cleared struct{ Case Case }

// Tried means that a request with the subject is let through although it is refused.
type Tried struct{ Case Case }

func (Suspected) change() {}
func (Refused) change()   {}
func (Cleared) change()   {}
func (Tried) change()     {}

// Answered records an answer to a request with the given subjects: one that began, if they are parts,
// and a whole one, if the subject is the request. It returns what changed.
func (t *Table) Answered(subjects []string, now time.Time) []Change {
	if !t.isOfRequests() {
		t.rememberAnswered(subjects, now)
	}
	var changes []Change
	for _, subject := range subjects {
		if r := t.cases[subject]; r != nil {
			changes = append(changes, t.clearAnswered(r, now)...)
		}
	}
	return changes
}

// Completed records a complete answer of one endpoint to a request with the given parts. It returns what
// changed.
func (t *Table) Completed(parts []string, now time.Time) []Change {
	var changes []Change
	for _, part := range parts {
		t.completed.add(part, now)
		if r := t.cases[part]; r != nil && len(r.Crashes) > 0 {
			changes = append(changes, t.update(r, now, func() {
				r.CompletedAt, r.changedAt = now, now
				r.clear()
			})...)
		}
	}
	return changes
}

// rememberAnswered records which parts were answered, and for the others that they were not among
// them.
func (t *Table) rememberAnswered(parts []string, now time.Time) {
	for _, part := range parts {
		t.answered.add(part, now)
	}
	for _, r := range t.cases {
		if !slices.Contains(parts, r.Subject) {
			r.otherAnswers++
		}
	}
}

// clearAnswered ends what is held against a subject that was answered. It returns what changed.
func (t *Table) clearAnswered(r *record, now time.Time) []Change {
	if len(r.Crashes) > 0 {
		return t.update(r, now, func() {
			r.AnsweredAt, r.changedAt = now, now
			r.clear()
		})
	}
	if t.isOfRequests() {
		// Entries that report an earlier end learn that it was followed by an answer.
		r.AnsweredAt = now
	}
	return nil
}

// Crashed records that an endpoint ended under a request with the given subjects. It returns what
// changed.
func (t *Table) Crashed(subjects []string, crash Crash) []Change {
	var changes []Change
	for _, subject := range subjects {
		r := t.record(subject)
		changes = append(changes, t.update(r, crash.At, func() {
			if r.failsTrial(crash) {
				r.FailedTrials++
				r.failedTrial, r.changedAt = crash.At, crash.At
			}
			if r.add(crash) {
				r.changedAt = crash.At
			}
		})...)
	}
	return changes
}

// Order has a subject refused by order of an operator.
func (t *Table) Order(subject string, now time.Time) []Change {
	r := t.record(subject)
	return t.update(r, now, func() { r.OrderedAt, r.changedAt = now, now })
}

// Lift ends the refusal of a subject by order of an operator. Endpoints that end under it from now on
// have it refused again.
func (t *Table) Lift(subject string, now time.Time) []Change {
	r := t.record(subject)
	return t.update(r, now, func() {
		r.LiftedAt, r.changedAt = now, now
		r.clear()
	})
}

// Check decides whether a request is refused, and returns the case that has it refused, or nil.
// mayTry reports whether this entry is the one that lets requests with a subject through as a trial;
// it is asked about the first of the refused subjects.
// Check returns what changed.
func (t *Table) Check(account string, subjects []string, mayTry func(subject string) bool, now time.Time) (*Case, []Change) {
	var refused []*record
	for _, subject := range subjects {
		if r := t.cases[subject]; r != nil && t.refuses(r, account, now) {
			r.AskedAt = now
			refused = append(refused, r)
		}
	}
	for i, r := range refused {
		if !t.mayTry(r, account, subjects, now) || i == 0 && !mayTry(r.Subject) {
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

// TrialUnsent records that a request that Check let through as a trial was not sent, so that the next
// one may be tried.
func (t *Table) TrialUnsent(subjects []string) {
	for _, subject := range subjects {
		if r := t.cases[subject]; r != nil {
			r.unsentTrial = r.TriedAt
		}
	}
}

// Refuses reports whether a request is refused. Unlike Check it lets none through as a trial.
func (t *Table) Refuses(account string, subjects []string, now time.Time) bool {
	return slices.ContainsFunc(subjects, func(subject string) bool {
		r := t.cases[subject]
		return r != nil && t.refuses(r, account, now)
	})
}

// Suspects reports whether one more crash has one of the subjects refused, or it is refused already.
func (t *Table) Suspects(subjects []string) bool {
	return slices.ContainsFunc(subjects, func(subject string) bool {
		r := t.cases[subject]
		return r != nil && len(r.Crashes) >= t.crashesToRefuse(r)-1
	})
}

// RefusedSubjects returns the number of subjects that are refused to some account.
func (t *Table) RefusedSubjects(now time.Time) int {
	n := 0
	for _, r := range t.cases {
		if t.isRefused(r, now) {
			n++
		}
	}
	return n
}

// IsRefused reports whether requests with a subject are refused to some account.
func (t *Table) IsRefused(subject string, now time.Time) bool {
	r := t.cases[subject]
	return r != nil && t.isRefused(r, now)
}

// record returns the case of a subject, which is made if there is none.
func (t *Table) record(subject string) *record {
	if r := t.cases[subject]; r != nil {
		return r
	}
	if t.cases == nil {
		t.cases = map[string]*record{}
	}
	t.makeRoom()
	r := &record{Case: Case{Subject: subject, AnsweredAt: t.answered.at(subject), CompletedAt: t.completed.at(subject)}}
	t.cases[subject] = r
	return r
}

// makeRoom deletes the case with the least against its subject, and of several the oldest, if the table
// is full.
func (t *Table) makeRoom() {
	if len(t.cases) < maxCases {
		return
	}
	weakest := slices.MinFunc(slices.Collect(maps.Values(t.cases)), func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.weight(), b.weight()), a.latest().Compare(b.latest()), cmp.Compare(a.Subject, b.Subject))
	})
	delete(t.cases, weakest.Subject)
}

// weight orders cases by how much is held against their subjects.
func (r *record) weight() int {
	if r.ordered() {
		return maxCrashes + 1
	}
	return len(r.Crashes)
}

// Expire forgets the subjects that nobody asks for any more. It returns what changed since the last
// call because time has passed.
func (t *Table) Expire(now time.Time) []Change {
	var changes []Change
	for _, r := range t.cases {
		changes = append(changes, t.refusalChange(r, now)...)
	}
	maps.DeleteFunc(t.cases, func(_ string, r *record) bool {
		expired := !r.ordered() && now.Sub(r.latest()) > t.ttl(r)
		if expired && r.refusalReported {
			changes = append(changes, Cleared{Case: r.clone()})
		}
		return expired
	})
	return changes
}

// ttl returns for how long a case is kept after its last event.
func (t *Table) ttl(r *record) time.Duration {
	if t.lasts(r) {
		return caseTTL
	}
	return briefCaseTTL
}

// update applies f to a case and returns what it changed.
func (t *Table) update(r *record, now time.Time, f func()) []Change {
	before := len(r.Crashes)
	f()
	after, suspicious := len(r.Crashes), t.crashesToRefuse(r)-1
	if after == 0 || before == 0 {
		r.otherAnswers = 0
	}
	if changes := t.refusalChange(r, now); changes != nil {
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
func (t *Table) refusalChange(r *record, now time.Time) []Change {
	refused := t.isRefused(r, now)
	if refused == r.refusalReported {
		return nil
	}
	r.refusalReported = refused
	if refused {
		return []Change{Refused{Case: r.clone()}}
	}
	return []Change{Cleared{Case: r.clone()}}
}
