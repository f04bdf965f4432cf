package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Subjects is what a request may be refused for because endpoints end under it.
type Subjects struct {
	Account string
	// Parts are the IDs of the prompt's parts that other requests may share.
	Parts []string
	// Fingerprint identifies the work that the request asks for.
	Fingerprint string
}

// requests returns the fingerprint as the subjects of a table of requests.
func (s Subjects) requests() []string { return []string{s.Fingerprint} }

// Cases holds what is known against parts of prompts, and against whole requests.
type Cases struct{ Parts, Requests []quarantine.Case }

// Empty reports whether there are no cases.
func (c Cases) Empty() bool { return len(c.Parts) == 0 && len(c.Requests) == 0 }

// checkSubjects returns why a request is refused because endpoints end under it, or nil. isTrial means
// that it is let through although the request is refused.
func (st *State) checkSubjects(s Subjects, now time.Time) (isTrial bool, e *result.Error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	c, changes := st.parts.Check(s.Account, s.Parts, st.isTrialEntry, now)
	st.notePartChanges(changes, "", now)
	if c != nil {
		return false, quarantine.PartRefusal(c.Subject)
	}
	c, changes = st.requests.Check(s.Account, s.requests(), st.isTrialEntry, now)
	st.noteRequestChanges(changes, "", now)
	if c != nil {
		return false, quarantine.RequestRefusal(c.Subject)
	}
	return len(changes) > 0, nil
}

// trialUnsent records that a request that was let through as a trial was not sent to an endpoint.
func (st *State) trialUnsent(s Subjects) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.requests.TrialUnsent(s.requests())
}

// isTrialEntry reports whether this entry is the one that lets requests with a refused subject
// through as a trial. All entries that see the same listing agree on one.
func (st *State) isTrialEntry(subject string) bool { return st.keeper(subject) == st.Name }

// keeper returns the name of the listed entry, this one included, that the hash of a subject selects.
// mu must be held.
func (st *State) keeper(subject string) string {
	hash := func(name string) uint64 { return xxhash.Sum64String(name + " " + subject) }
	selected, least := st.Name, hash(st.Name)
	for name, delistedAt := range st.entries {
		if h := hash(name); delistedAt.IsZero() && h < least {
			selected, least = name, h
		}
	}
	return selected
}

// Keeper returns the name of the entry that is told first of an endpoint that ended under a request.
func (st *State) Keeper(fingerprint string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.keeper(fingerprint)
}

// Refuses returns why a request is refused because endpoints end under it, or nil. Unlike
// checkSubjects it lets none through as a trial.
func (st *State) Refuses(s Subjects, now time.Time) *result.Error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.refusalOf(s, now)
}

// refusalOf is Refuses with mu held.
func (st *State) refusalOf(s Subjects, now time.Time) *result.Error {
	for _, part := range s.Parts {
		if st.parts.Refuses(s.Account, []string{part}, now) {
			return quarantine.PartRefusal(part)
		}
	}
	if st.requests.Refuses(s.Account, s.requests(), now) {
		return quarantine.RequestRefusal(s.Fingerprint)
	}
	return nil
}

// SuspectsParts reports whether one more crash under one of the parts would have it refused.
func (st *State) SuspectsParts(parts []string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.parts.Suspects(parts)
}

// RecordAnswered records that an answer began to a request with the given parts.
func (st *State) RecordAnswered(parts []string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.notePartChanges(st.parts.Answered(parts, now), "", now)
}

// RecordWhole records a whole answer to a request. success means that it has a 2xx status, so that it
// speaks for the parts of the prompt as well.
func (st *State) RecordWhole(s Subjects, success bool, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if success {
		st.notePartChanges(st.parts.Completed(s.Parts, now), "", now)
	}
	changes := st.requests.Answered(s.requests(), now)
	if len(changes) > 0 {
		st.notifyChanged()
	}
	st.noteRequestChanges(changes, "", now)
}

// crashOf returns the end of an endpoint under a request.
func crashOf(assigned Assignment, account string, now time.Time) quarantine.Crash {
	return quarantine.Crash{
		Endpoint: assigned.Endpoint.ID, Incarnation: assigned.Endpoint.StartMillis, Account: account, At: now,
	}
}

// RecordCrash records against the parts of a request's prompt that an endpoint ended under it. begun
// means that a part of its answer had arrived.
func (st *State) RecordCrash(assigned Assignment, s Subjects, begun bool, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	crash := crashOf(assigned, s.Account, now)
	crash.Begun, crash.Request = begun, uint32(xxhash.Sum64String(s.Fingerprint))
	changes := st.parts.Crashed(s.Parts, crash)
	st.notifyChanged()
	st.notePartChanges(changes, "", now)
}

// RecordEnd records that an endpoint ended under a request, whose caller had some time left. It
// returns what is known against the request.
func (st *State) RecordEnd(assigned Assignment, s Subjects, left time.Duration, now time.Time) quarantine.Case {
	st.mu.Lock()
	defer st.mu.Unlock()
	crash := crashOf(assigned, s.Account, now)
	crash.CallerLeft = left
	changes := st.requests.Crashed(s.requests(), crash)
	st.notifyChanged()
	st.noteRequestChanges(changes, "", now)
	return st.requests.Known(s.Fingerprint)
}

// KnownOfRequest returns what is known against a request.
func (st *State) KnownOfRequest(fingerprint string) quarantine.Case {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.requests.Known(fingerprint)
}

// MergeCases adds the cases that another entry reports.
func (st *State) MergeCases(cases Cases, from string, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, c := range cases.Parts {
		st.notePartChanges(st.parts.Merge(c, now), from, now)
	}
	for _, c := range cases.Requests {
		st.noteRequestChanges(st.requests.Merge(c, now), from, now)
	}
	if !st.recentCases(now).Empty() {
		st.notifyChanged()
	}
}

// OrderPart has a part refused, or lifts what is held against it, by order of an operator.
func (st *State) OrderPart(part string, refuse bool, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.notePartChanges(order(&st.parts, part, refuse, now), "operator", now)
	st.notifyChanged()
}

// OrderRequest has a request refused, or lifts what is held against it, by order of an operator.
func (st *State) OrderRequest(fingerprint string, refuse bool, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.noteRequestChanges(order(&st.requests, fingerprint, refuse, now), "operator", now)
	st.notifyChanged()
}

func order(t *quarantine.Table, subject string, refuse bool, now time.Time) []quarantine.Change {
	if refuse {
		return t.Order(subject, now)
	}
	return t.Lift(subject, now)
}

// RecentCases returns the cases that this entry has just changed, to be passed on at once.
func (st *State) RecentCases(now time.Time) Cases {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.recentCases(now)
}

func (st *State) recentCases(now time.Time) Cases {
	return Cases{Parts: st.parts.Recent(now), Requests: st.requests.Recent(now)}
}

// Cases returns the cases that hold something against their subjects.
func (st *State) Cases() Cases {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Cases{Parts: st.parts.Cases(), Requests: st.requests.Cases()}
}

// ReplyToCases returns the cases for an entry that has told of others.
func (st *State) ReplyToCases(told Cases) Cases {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Cases{Parts: st.parts.Reply(told.Parts), Requests: st.requests.Reply(told.Requests)}
}

// RestoreCase adds a case against a part that was stored before this entry started. It has no effect
// if this entry knows the part.
func (st *State) RestoreCase(c quarantine.Case, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.notePartChanges(st.parts.Restore(c, now), "store", now)
}

// LastingCases returns the cases of parts that are refused until something changes.
func (st *State) LastingCases(now time.Time) []quarantine.Case {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.parts.Lasting(now)
}

// KeepsPart reports whether this entry is the one that stores whether a part is refused.
func (st *State) KeepsPart(part string) bool { return st.Keeper(part) == st.Name }

// PartRefused reports whether requests with a part are refused to some account.
func (st *State) PartRefused(part string, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.parts.IsRefused(part, now)
}

// RequestRefused reports whether requests with a fingerprint are refused.
func (st *State) RequestRefused(fingerprint string, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.requests.IsRefused(fingerprint, now)
}

// RefusedParts returns the number of parts of prompts that are refused to some account.
func (st *State) RefusedParts(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.parts.RefusedSubjects(now)
}

// RefusedRequests returns the number of requests, by fingerprint, that are refused.
func (st *State) RefusedRequests(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.requests.RefusedSubjects(now)
}

// expireCases forgets what nobody asks for any more. mu must be held.
func (st *State) expireCases(now time.Time) {
	st.notePartChanges(st.parts.Expire(now), "", now)
	st.noteRequestChanges(st.requests.Expire(now), "", now)
}

// notePartChanges passes changes to OnPartChange, with the entry that reported them, and refuses the
// waiting requests with parts that are refused from now on. mu must be held.
func (st *State) notePartChanges(changes []quarantine.Change, from string, now time.Time) {
	st.noteChanges(changes, st.OnPartChange, from, now)
}

// noteRequestChanges is notePartChanges for whole requests.
func (st *State) noteRequestChanges(changes []quarantine.Change, from string, now time.Time) {
	st.noteChanges(changes, st.OnRequestChange, from, now)
}

func (st *State) noteChanges(changes []quarantine.Change, note func(c quarantine.Change, from string, now time.Time), from string, now time.Time) {
	for _, c := range changes {
		if note != nil {
			note(c, from, now)
		}
		if _, ok := c.(quarantine.Refused); ok {
			st.refuseWaitingSubjects(now)
		}
	}
}

// refuseWaitingSubjects refuses the waiting requests with a subject that is refused from now on.
// Otherwise they would be sent all at once when their group opens again. mu must be held.
func (st *State) refuseWaitingSubjects(now time.Time) {
	st.refuseWaiting(func(req AdmitRequest) *result.Error { return st.refusalOf(req.Subjects, now) })
}
