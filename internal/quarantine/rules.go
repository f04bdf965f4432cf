package quarantine

import (
	"slices"
	"time"
)

// Rules say when the subjects of a table are refused: PartRules or RequestRules.
type Rules interface{ rules() }

// PartRules are those for the parts of prompts, which many requests share. A part on which endpoints
// crash lets no answer be completed, and mostly lets none begin.
type PartRules struct{}

// RequestRules are those for whole requests, by fingerprint. Requests for the same work are alike in
// all that decides whether an endpoint ends under them, so that a whole answer to one of them speaks
// for all, and one that has only begun for none.
type RequestRules struct{}

func (PartRules) rules()    {}
func (RequestRules) rules() {}

const (
	// CrashesToRefuse is the number of endpoints that must have ended under a request, or under a part
	// which no answer is known to have had. One or two may be coincidence.
	CrashesToRefuse = 3
	// CrashesToShare is the number of endpoints that must have ended under a request for its case to be
	// exchanged and kept like one against a part. Each request that an endpoint had has one when it ends.
	CrashesToShare = 2
	// crashesToRefuseAnswered is the same for a part that was answered before. Requests that share
	// their first part with most others are on every endpoint that ends.
	crashesToRefuseAnswered = 5
	// minOtherAnswers is the number of answers to requests without such a part that must have begun
	// since the first of those ends. If the part were sound, it would be in one of them.
	minOtherAnswers = 10
	// minSpan is the least time from the first to the last of the ends under a part. Endpoints that
	// lose their power, or are killed, together end within less.
	minSpan = 300 * time.Millisecond
	// suspicionTime is for how long a part is refused after several ends that came together.
	suspicionTime = time.Second
	// trialInterval is the time without a crash or a trial after which one request with a refused part
	// is let through, to find out whether it was refused by mistake.
	trialInterval = 5 * time.Minute
	// explainedTrialInterval is the same if another refused part, which the request lacks, explains
	// all ends.
	explainedTrialInterval = time.Second
	// minRequestTrialInterval is the least time after which a refused request is tried.
	minRequestTrialInterval = time.Second
	// requestTrialFactor is by how much longer the next trial of a request waits after one that ended
	// another endpoint.
	requestTrialFactor = 4
	// maxFailedTrials is the number of trials under which another endpoint ended after which there is
	// none.
	maxFailedTrials = 3
)

// isOfRequests reports whether the subjects of the table are whole requests.
func (t *Table) isOfRequests() bool {
	_, ok := t.Rules.(RequestRules)
	return ok
}

// lasts reports whether a case is exchanged, and kept for caseTTL. Others are kept for briefCaseTTL.
func (t *Table) lasts(r *record) bool {
	return !t.isOfRequests() || r.weight() >= CrashesToShare
}

// crashesToRefuse returns the number of crashes from which on the subject is refused.
func (t *Table) crashesToRefuse(r *record) int {
	if t.isOfRequests() || r.soundAt().IsZero() {
		return CrashesToRefuse
	}
	return crashesToRefuseAnswered
}

// isRefused reports whether requests with the subject are refused to some account.
func (t *Table) isRefused(r *record, now time.Time) bool {
	if r.ordered() {
		return true
	}
	if len(r.Crashes) < t.crashesToRefuse(r) {
		return false
	}
	if t.isOfRequests() {
		return true
	}
	if r.begun() && r.ofOneRequest() || !r.soundAt().IsZero() && r.otherAnswers < minOtherAnswers {
		return false
	}
	return r.span() >= minSpan || now.Sub(r.lastCrash()) < suspicionTime
}

// refuses reports whether requests of an account with the subject are refused.
func (t *Table) refuses(r *record, account string, now time.Time) bool {
	return t.isRefused(r, now) && (r.ordered() || r.concerns(account))
}

// mayTry reports whether one request with a refused subject may be let through now.
func (t *Table) mayTry(r *record, account string, subjects []string, now time.Time) bool {
	if r.ordered() || r.FailedTrials >= maxFailedTrials {
		return false
	}
	since := now.Sub(later(r.lastCrash(), r.lastTrial()))
	switch {
	case t.isOfRequests():
		return since >= r.requestTrialInterval()
	case t.explained(r, account, subjects, now):
		return since >= explainedTrialInterval
	default:
		return since >= trialInterval
	}
}

// requestTrialInterval returns the time without a crash or a trial after which a refused request is
// tried. The callers under whose tries endpoints ended have given up by then: whoever still asks is
// another one, and asks for what may have lost its endpoints for other reasons.
func (r *record) requestTrialInterval() time.Duration {
	interval := minRequestTrialInterval
	for _, crash := range r.Crashes {
		interval = max(interval, crash.CallerLeft)
	}
	for range r.FailedTrials {
		interval *= requestTrialFactor
	}
	return interval
}

// lastTrial returns when the subject was last tried, apart from a trial that was not sent.
func (r *record) lastTrial() time.Time {
	if !r.TriedAt.After(r.unsentTrial) {
		return time.Time{}
	}
	return r.TriedAt
}

// failsTrial reports whether a crash is the first since a request was let through as a trial.
func (r *record) failsTrial(crash Crash) bool {
	return r.TriedAt.After(r.failedTrial) && !crash.At.Before(r.TriedAt)
}

// explained reports whether another refused part, which is not among parts, was in the requests of
// all crashes of r.
//
// Parts that always come together with a fatal one are refused with it, although they are sound. A
// request with such a part and without the fatal one shows that soon.
func (t *Table) explained(r *record, account string, parts []string, now time.Time) bool {
	for _, other := range t.cases {
		if other != r && !slices.Contains(parts, other.Subject) && t.refuses(other, account, now) && r.explainedBy(&other.Case) {
			return true
		}
	}
	return false
}
