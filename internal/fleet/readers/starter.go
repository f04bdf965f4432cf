package readers

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxStartSources is the number of hosts from which a starting process may get the state.
	maxStartSources = 6
	// firstTurnWindow is the time within which a starting process whose sources are all
	// unreachable or without updates reads the store for the first time. Processes that lost
	// power together are up again within a part of it.
	firstTurnWindow = 600 * time.Millisecond
	// minTurnDelay is the shortest time until then.
	minTurnDelay = 300 * time.Millisecond
	// windowGrowth is how many times longer the window is after a failed reading.
	windowGrowth = 2
	// statelessTurnWindow is that time where a source is reachable, but has no state either: a
	// whole fleet may be waiting for its readers.
	statelessTurnWindow = 8 * time.Second
	// maxTurnWindow bounds the time from a failed reading to the next.
	maxTurnWindow = 32 * time.Second
	// askAgainDelay is the delay before a source that had no state to give is asked again.
	askAgainDelay = 200 * time.Millisecond
	// startPollInterval is how often a starting process looks whether a source is reachable.
	startPollInterval = 20 * time.Millisecond
)

// Step is what a process without state does next: ReadStore, Ask or Pause.
type Step interface{ isStep() }

// ReadStore means that the process reads the complete state from the store.
type ReadStore struct{}

// Ask means that the process asks another one for the state.
type Ask struct{ Name string }

// Pause means that the process waits for a time before it decides again.
type Pause struct{ For time.Duration }

func (ReadStore) isStep() {}
func (Ask) isStep()       {}
func (Pause) isStep()     {}

// Starter decides where a process that starts gets the complete state from. Set the exported
// fields before the first call. It is not safe for concurrent use.
//
// The complete state grows with the fleet. If each process of a fleet read it from the store, the
// store's line would have to carry the square of the fleet: when five hundred entries lost power
// together, no answer came in time, each was asked for again from the beginning, and the line stayed
// full for good. Therefore only maxReaders of a data centre read it, and the others get it from
// these, as long as one of them is reachable and makes progress. Whoever has none reads the store at
// a random time, and after each failure in a longer window, so that the readings that come at
// once become few enough for the line whatever the size of the fleet.
type Starter struct {
	// Self is the name of the process.
	Self string
	// Rand is the source of random times; nil selects a random one.
	Rand *rand.Rand

	outcomes map[string]pastOutcome
	// sending is the source that has sent the last page, or "".
	sending string
	window  time.Duration
	// turnAt is when the process reads the store if no source makes progress.
	turnAt time.Time
	// storeFailedAt is when the store last did not answer, or zero.
	storeFailedAt time.Time
}

// Next returns the next step. hosts are the processes of the data centre that keep others
// registered; Self is among them if it was one before its restart. holders are others that have the
// state. reachable reports whether a connection to a process is ready.
func (s *Starter) Next(hosts, holders []string, reachable func(name string) bool, now time.Time) Step {
	if s.window == 0 {
		s.window = firstTurnWindow
		s.drawTurn(now)
	}
	order := sortedBy(hosts, xxhash.Sum64String)
	own := slices.Index(order, s.Self)
	isHost := own >= 0
	isReader := isHost && own < maxReaders
	sources := append(s.hostSources(order, own), byDistance(holders, s.Self)...)
	if len(sources) == 0 || isReader && now.Sub(s.storeFailedAt) >= notCurrentBackoff {
		return ReadStore{}
	}
	sources = slices.DeleteFunc(sources, func(name string) bool { return !reachable(name) })
	if name, ok := s.choose(sources, now); ok {
		return Ask{Name: name}
	}
	if len(sources) > 0 && !isHost && s.window < statelessTurnWindow {
		s.window = statelessTurnWindow
		s.drawTurn(now)
	}
	if !now.Before(s.turnAt) {
		return ReadStore{}
	}
	return Pause{For: min(startPollInterval, s.turnAt.Sub(now))}
}

// hostSources returns the hosts that may be asked, best first. A host that is no reader asks those
// before it in order, so that no two ask each other; a reader asks the others only after the store
// has not answered it.
func (s *Starter) hostSources(order []string, own int) []string {
	switch {
	case own >= maxReaders:
		order = order[:own]
	case own >= 0:
		order = slices.Delete(slices.Clone(order), own, own+1)
	default:
		order = byDistance(order, s.Self) // so that not all choose among the same
	}
	return slices.Clone(order[:min(len(order), maxStartSources)])
}

// choose returns a source that may be asked now, and false if there is none: the one that has sent a
// part of the state, or another that may have it, at random, so that none of them is asked by most, or
// else one that is receiving it or is sending it to others.
func (s *Starter) choose(sources []string, now time.Time) (string, bool) {
	if slices.Contains(sources, s.sending) {
		return s.sending, true
	}
	var mayHave, starting []string
	for _, name := range sources {
		p, asked := s.outcomes[name]
		switch {
		case !asked || p.outcome == Fresh:
			mayHave = append(mayHave, name)
		case p.outcome == Starting:
			starting = append(starting, name)
		case p.outcome == NoAnswer && now.Sub(p.at) >= notCurrentBackoff, p.outcome != NoAnswer && now.Sub(p.at) >= askAgainDelay:
			mayHave = append(mayHave, name)
		}
	}
	if len(mayHave) == 0 {
		mayHave = starting
	}
	if len(mayHave) == 0 {
		return "", false
	}
	return mayHave[s.Rand.IntN(len(mayHave))], true
}

// NoteAnswer records the outcome of a request to a process.
func (s *Starter) NoteAnswer(name string, o Outcome, now time.Time) {
	if s.outcomes == nil {
		s.outcomes = map[string]pastOutcome{}
	}
	s.outcomes[name] = pastOutcome{outcome: o, at: now}
	s.sending = ""
	if o == Fresh {
		s.sending = name
	}
	if o == Fresh || o == Starting {
		s.drawTurn(now)
	}
}

// NoteStoreFailure records that the store could not be read.
func (s *Starter) NoteStoreFailure(now time.Time) {
	s.storeFailedAt = now
	s.window = min(windowGrowth*max(s.window, firstTurnWindow), maxTurnWindow)
	s.drawTurn(now)
}

// drawTurn sets turnAt to a random time within the window, after the time in which all start.
func (s *Starter) drawTurn(now time.Time) {
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s.turnAt = now.Add(minTurnDelay + time.Duration(s.Rand.Int64N(int64(s.window-minTurnDelay))))
}
