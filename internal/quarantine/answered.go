package quarantine

import "time"

const (
	// maxAnswered is the greatest number of parts in one generation of answeredParts. Most parts are
	// used by one conversation only and must not fill the memory.
	maxAnswered = 4096
	// generationTime is the shortest time for which an answered part is remembered while answers
	// begin, unless there are too many.
	generationTime = time.Minute
)

// answeredParts remembers the parts to which answers have begun lately. The zero value is empty.
//
// Generations end only when an answer begins. Nothing is forgotten for as long as nothing is
// answered: endpoints that end one after the other may let no answer begin, and the parts that all
// requests share must not look as if they had never been answered.
type answeredParts struct {
	current, previous map[string]time.Time
	startedAt         time.Time
}

// add remembers that an answer to a request with the part began.
func (a *answeredParts) add(part string, now time.Time) {
	if a.current == nil || len(a.current) >= maxAnswered || now.Sub(a.startedAt) >= generationTime {
		a.previous, a.current = a.current, map[string]time.Time{}
		a.startedAt = now
	}
	a.current[part] = now
}

// at returns when an answer to a request with the part last began, or zero if that is not known.
func (a *answeredParts) at(part string) time.Time {
	if t, ok := a.current[part]; ok {
		return t
	}
	return a.previous[part]
}
