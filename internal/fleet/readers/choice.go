package readers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReaders is the number of readers: the processes of a data centre that may poll
	// the store while it answers none of them. They are enough that one of them reaches a
	// store which rejects one in three VMs. As many of the processes after them may poll
	// it when these have no updates.
	maxReaders = 3
	// notCurrentBackoff is the time for which a process without updates is skipped, and
	// noAnswerBackoff that for one which did not answer: each attempt to reach it takes
	// most of a second, in which no updates are received.
	notCurrentBackoff = time.Second
	noAnswerBackoff   = 3 * time.Second
	// ownStateBackoff is the time for which a process is skipped whose state comes from
	// this process. It answers OwnState at once.
	ownStateBackoff = 2 * time.Second
	// storeLostBackoff is the time for which a process is skipped that the store
	// doesn't answer. It retries the store every second or two, and a request to it
	// during a retry waits until the retry is late.
	storeLostBackoff = 8 * time.Second
	// shuttingDownBackoff is the time for which a process is skipped that is shutting
	// down: longer than it takes to stop and restart.
	shuttingDownBackoff = 12 * time.Second
	// directPollInterval is the interval between two polls of the store by a process that
	// is not a reader and whose sources don't reach the store. Account keys are accepted
	// for twice as long.
	directPollInterval = 2500 * time.Millisecond
)

// Outcome is the outcome of a request to another process for updates.
type Outcome int

// The outcomes of a request.
const (
	// NoAnswer means that no answer came in time.
	NoAnswer Outcome = iota
	// NotCurrent means that the process has no current state to serve.
	NotCurrent
	// StoreLost means that the store doesn't answer the process.
	StoreLost
	// OwnState means that the state of the process comes from the requesting process.
	OwnState
	// ShuttingDown means that the process is shutting down. It answers this at once.
	ShuttingDown
	// Starting means that the process has no state yet but is receiving it, or is sending it to
	// as many others as it does at once.
	Starting
	// Fresh means that the process served the current state or its changes.
	Fresh
)

// SourceSelector selects the source of updates of one process. Set the exported fields
// before the first call. It is not safe for concurrent use.
type SourceSelector struct {
	// Self is the name of the process.
	Self string

	lastOutcomes map[string]pastOutcome
	// lastDirectPoll is the time of the last poll of the store that was made because
	// no source reached it. storeFailedAt is the time at which the last call to the
	// store failed, or zero if the store answered it.
	lastDirectPoll, storeFailedAt time.Time
	// uninformed reports that the last request to another process brought no update,
	// for another reason than ShuttingDown or Starting, and the store has not been called
	// since.
	uninformed bool
}

// pastOutcome is the outcome of the last request to a process.
type pastOutcome struct {
	outcome Outcome
	at      time.Time
}

// usable reports whether requests may be sent to the process again.
func (p pastOutcome) usable(now time.Time) bool {
	switch p.outcome {
	case Fresh, Starting:
		return true
	case NotCurrent:
		return now.Sub(p.at) >= notCurrentBackoff
	case StoreLost:
		return now.Sub(p.at) >= storeLostBackoff
	case OwnState:
		return now.Sub(p.at) >= ownStateBackoff
	case ShuttingDown:
		return now.Sub(p.at) >= shuttingDownBackoff
	default:
		return now.Sub(p.at) >= noAnswerBackoff
	}
}

// Source returns the name of the process to request updates from, or "" for the store.
// others are the names of all processes of the data centre, with or without Self.
//
// The first processes in the order in which they take over follow the one before them
// that has updates. All others follow one of their parents in the tree of processes.
//
// Processes that recently had no updates are replaced as readers by as many of the
// processes after them, at most maxReaders: if three can't reach the store, it may still
// answer the others. A process that may poll the store does so once if its last request
// to another process brought no update, because the next source may be cut off from the
// store as well.
func (s *SourceSelector) Source(others []string, now time.Time) string {
	order := s.takeoverOrder(others, now)
	ownIndex := slices.Index(order, s.Self)
	if ownIndex >= 2*maxReaders {
		return s.followerSource(order, ownIndex, now)
	}
	usable := s.usable(order[:ownIndex], now)
	unusable := min(ownIndex-len(usable), maxReaders)
	mayRead := ownIndex-unusable < maxReaders
	switch {
	case mayRead && now.Sub(s.storeFailedAt) < notCurrentBackoff:
		// Processes after this one may reach the store.
		usable = s.usable(slices.Delete(order, ownIndex, ownIndex+1), now)
	case mayRead && s.uninformed:
		return ""
	}
	if len(usable) > 0 {
		return usable[0]
	}
	if mayRead {
		return ""
	}
	return s.sourceWithoutUsable(order, now)
}

// followerSource returns the source of a process that is none of those that may become
// readers.
func (s *SourceSelector) followerSource(order []string, ownIndex int, now time.Time) string {
	for _, name := range parents(order, ownIndex) {
		if s.mayHaveUpdates(name, now) {
			return name
		}
	}
	return s.sourceWithoutUsable(order, now)
}

// sourceWithoutUsable returns the source of a process that may not read the store
// regularly and has no source that may have updates: the store now and then, and
// otherwise a reader that at least answers.
func (s *SourceSelector) sourceWithoutUsable(order []string, now time.Time) string {
	if now.Sub(s.lastDirectPoll) >= directPollInterval {
		s.lastDirectPoll = now
		return ""
	}
	for _, name := range order[:maxReaders] {
		if o := s.lastOutcomes[name].outcome; o == NotCurrent || o == StoreLost {
			return name
		}
	}
	return ""
}

// usable returns the processes that may have updates among the first 2*maxReaders, which
// are those that may become readers. It keeps their order.
func (s *SourceSelector) usable(all []string, now time.Time) []string {
	var out []string
	for _, name := range all[:min(len(all), 2*maxReaders)] {
		if s.mayHaveUpdates(name, now) {
			out = append(out, name)
		}
	}
	return out
}

// mayHaveUpdates reports whether a process may be asked for updates.
func (s *SourceSelector) mayHaveUpdates(name string, now time.Time) bool {
	p, ok := s.lastOutcomes[name]
	return !ok || p.usable(now)
}

// takeoverOrder returns all processes that aren't shutting down, in the order in which
// they take over polling the store.
//
// A rolling restart may stop all three readers at once. If they kept their places, the
// others would get no updates while the readers finish their last requests.
func (s *SourceSelector) takeoverOrder(others []string, now time.Time) []string {
	all := append(slices.Clone(others), s.Self)
	all = slices.DeleteFunc(all, func(name string) bool {
		p := s.lastOutcomes[name]
		return p.outcome == ShuttingDown && !p.usable(now)
	})
	return slices.Compact(sortedBy(all, xxhash.Sum64String))
}

// NoteStore records whether the store answered this process.
func (s *SourceSelector) NoteStore(answered bool, now time.Time) {
	s.storeFailedAt, s.uninformed = time.Time{}, false
	if !answered {
		s.storeFailedAt = now
	}
}

// NoteAnswer records the outcome of a request to a process.
func (s *SourceSelector) NoteAnswer(name string, o Outcome, now time.Time) {
	if s.lastOutcomes == nil {
		s.lastOutcomes = map[string]pastOutcome{}
	}
	// Old outcomes are dropped: new processes come with new names, and the map would
	// grow without bound.
	for other, p := range s.lastOutcomes {
		if now.Sub(p.at) > time.Minute {
			delete(s.lastOutcomes, other)
		}
	}
	s.lastOutcomes[name] = pastOutcome{outcome: o, at: now}
	s.uninformed = o != Fresh && o != ShuttingDown && o != Starting
}
