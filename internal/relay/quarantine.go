package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// retryAfterQuarantine is the Retry-After time of a request with a part that endpoints crash on. The
// refusal does not pass by itself while the part is asked for.
const retryAfterQuarantine = time.Minute

// quarantineRefusal returns the refusal of a request with a part that endpoints crash on.
func quarantineRefusal(detail string) *result.Error {
	return result.New(result.PromptPartRefused, detail).WithRetryAfter(retryAfterQuarantine)
}

// checkParts returns why a request is refused because of a part of its prompt, or nil.
func (st *State) checkParts(account string, parts []string, now time.Time) *result.Error {
	if len(parts) == 0 {
		return nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	c, changes := st.quarantine.Check(account, parts, st.isTrialEntry, now)
	st.noteChanges(changes, "", now)
	if c == nil {
		return nil
	}
	return quarantineRefusal("part " + c.Part)
}

// isTrialEntry reports whether this entry is the one that lets requests with a refused part through
// as a trial. All entries that see the same listing agree on one.
func (st *State) isTrialEntry(part string) bool {
	hash := func(name string) uint64 { return xxhash.Sum64String(name + " " + part) }
	own := hash(st.Name)
	for name, delistedAt := range st.entries {
		if name != st.Name && delistedAt.IsZero() && hash(name) < own {
			return false
		}
	}
	return true
}

// RefusesParts reports whether a request is refused because of a part of its prompt.
func (st *State) RefusesParts(account string, parts []string, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.quarantine.Refuses(account, parts, now)
}

// SuspectsParts reports whether one more crash under one of the parts would have it refused.
func (st *State) SuspectsParts(parts []string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.quarantine.Suspects(parts)
}

// RecordAnswered records that an answer began to a request with the given parts.
func (st *State) RecordAnswered(parts []string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.noteChanges(st.quarantine.Answered(parts, now), "", now)
}

// RecordCrash records that an endpoint ended under a request with the given parts, before its answer
// began.
func (st *State) RecordCrash(assigned Assignment, account string, parts []string, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	crash := quarantine.Crash{
		Endpoint: assigned.Endpoint.ID, Incarnation: assigned.Endpoint.StartMillis, Account: account, At: now,
	}
	changes := st.quarantine.Crashed(parts, crash)
	st.notifyChanged()
	st.noteChanges(changes, "", now)
}

// MergeCases adds the cases against parts of prompts that another entry reports.
func (st *State) MergeCases(cases []quarantine.Case, from string, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, c := range cases {
		st.noteChanges(st.quarantine.Merge(c, now), from, now)
	}
	if len(st.quarantine.Recent(now)) > 0 {
		st.notifyChanged()
	}
}

// OrderPart has a part refused, or lifts what is held against it, by order of an operator.
func (st *State) OrderPart(part string, refuse bool, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	order := st.quarantine.Lift
	if refuse {
		order = st.quarantine.Order
	}
	st.noteChanges(order(part, now), "operator", now)
	st.notifyChanged()
}

// RecentCases returns the cases that this entry has just changed, to be passed on at once.
func (st *State) RecentCases(now time.Time) []quarantine.Case {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.quarantine.Recent(now)
}

// Cases returns the cases that hold something against parts of prompts.
func (st *State) Cases() []quarantine.Case {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.quarantine.Cases()
}

// ReplyToCases returns the cases for an entry that has told of others.
func (st *State) ReplyToCases(told []quarantine.Case) []quarantine.Case {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.quarantine.Reply(told)
}

// RestoreCase adds a case that was stored before this entry started. It has no effect if this entry
// knows the part.
func (st *State) RestoreCase(c quarantine.Case, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.noteChanges(st.quarantine.Restore(c, now), "store", now)
}

// LastingCases returns the cases of parts that are refused until something changes.
func (st *State) LastingCases(now time.Time) []quarantine.Case {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.quarantine.Lasting(now)
}

// KeepsPart reports whether this entry is the one that stores whether a part is refused.
func (st *State) KeepsPart(part string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.isTrialEntry(part)
}

// PartRefused reports whether requests with a part are refused to some account.
func (st *State) PartRefused(part string, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.quarantine.IsRefused(part, now)
}

// RefusedParts returns the number of parts of prompts that are refused to some account.
func (st *State) RefusedParts(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.quarantine.RefusedParts(now)
}

// expireCases forgets the parts that nobody asks for any more. mu must be held.
func (st *State) expireCases(now time.Time) {
	st.noteChanges(st.quarantine.Expire(now), "", now)
}

// noteChanges passes changes to OnPartChange, with the entry that reported them, and refuses the
// waiting requests with parts that are refused from now on. mu must be held.
func (st *State) noteChanges(changes []quarantine.Change, from string, now time.Time) {
	for _, c := range changes {
		if st.OnPartChange != nil {
			st.OnPartChange(c, from, now)
		}
		if refused, ok := c.(quarantine.Refused); ok {
			st.refuseWaitingWith(refused.Case.Part, now)
		}
	}
}

// refuseWaitingWith refuses the waiting requests with a part that is refused from now on. Otherwise
// they would be sent all at once when their group opens again. mu must be held.
func (st *State) refuseWaitingWith(part string, now time.Time) {
	st.refuseWaiting(func(req AdmitRequest) *result.Error {
		if !st.quarantine.Refuses(req.Account, req.Parts, now) {
			return nil
		}
		return quarantineRefusal("part " + part)
	})
}
