package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// recentTime is for how long a change is reported in each message to the other entries, and
	// maxRecent the greatest number of cases in one message.
	recentTime = 500 * time.Millisecond
	maxRecent  = 8
	// maxExchanged is the greatest number of cases in one exchange, which holds those with the most
	// crashes.
	maxExchanged = 16
)

// Merge adds a case that another entry reports. It returns what changed.
func (t *Table) Merge(reported Case, now time.Time) []Change {
	if now.Sub(reported.latest()) > caseTTL {
		return nil
	}
	r := t.record(reported.Subject)
	answered, completed := r.AnsweredAt, r.CompletedAt
	return t.update(r, now, func() {
		r.merge(reported)
		unknown := answered.Sub(reported.AnsweredAt) > clockTolerance || completed.Sub(reported.CompletedAt) > clockTolerance
		if unknown && len(reported.Crashes) > 0 {
			// The other entry does not know that the subject was answered.
			r.changedAt = now
		}
	})
}

// Restore adds a case that was stored before this entry started, unless the subject is known here. It
// returns what changed.
func (t *Table) Restore(stored Case, now time.Time) []Change {
	known := stored
	known.AnsweredAt, known.CompletedAt = t.answered.at(stored.Subject), t.completed.at(stored.Subject)
	if t.cases[stored.Subject] != nil || !known.soundAt().IsZero() {
		return nil
	}
	stored.AskedAt = now
	return t.Merge(stored, now)
}

// Lasting returns the cases of subjects that are refused until an answer clears them, nobody asks for
// them or operators lift them.
func (t *Table) Lasting(now time.Time) []Case {
	var lasting []*record
	for _, r := range t.cases {
		if t.isRefused(r, now) && (r.ordered() || r.span() >= minSpan) {
			lasting = append(lasting, r)
		}
	}
	return clones(lasting)
}

// Cases returns the cases that hold something against their subjects, the most crashes first, for an
// exchange with another entry. Their number is bounded by maxExchanged.
func (t *Table) Cases() []Case {
	var held []*record
	for _, r := range t.cases {
		if r.weight() > 0 && t.lasts(r) {
			held = append(held, r)
		}
	}
	slices.SortFunc(held, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Subject, b.Subject))
	})
	return clones(held[:min(len(held), maxExchanged)])
}

// Reply returns the cases for an entry that has told of others: those that hold something against
// their subjects, and those that it told of and that are cleared here.
func (t *Table) Reply(told []Case) []Case {
	out := t.Cases()
	for _, c := range told {
		if r := t.cases[c.Subject]; r != nil && r.weight() == 0 {
			out = append(out, r.clone())
		}
	}
	return out
}

// Known returns what is known here of a subject.
func (t *Table) Known(subject string) Case {
	if r := t.cases[subject]; r != nil {
		return r.clone()
	}
	return Case{Subject: subject}
}

func clones(records []*record) []Case {
	out := make([]Case, 0, len(records))
	for _, r := range records {
		out = append(out, r.clone())
	}
	return out
}

// Recent returns the cases that this entry has just changed. Of parts, those that were never answered
// come first, and of requests those with the most crashes.
func (t *Table) Recent(now time.Time) []Case {
	var recent []*record
	for _, r := range t.cases {
		if now.Sub(r.changedAt) <= recentTime {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b *record) int {
		first := a.soundAt().Compare(b.soundAt())
		if t.isOfRequests() {
			first = cmp.Compare(b.weight(), a.weight())
		}
		return cmp.Or(first, b.changedAt.Compare(a.changedAt), cmp.Compare(a.Subject, b.Subject))
	})
	return clones(recent[:min(len(recent), maxRecent)])
}
