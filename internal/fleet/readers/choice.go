package readers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// standing is how many processes of a data centre may ask the store while it
	// answers none of them: enough that a store which turns away one in three
	// VMs is reached by one of them. As many after them may when these have nothing to
	// tell.
	standing = 3
	// passOver is how long a process that has nothing to tell is passed over, and
	// silentOver one that did not answer: each try of it takes most of a second, in
	// which nothing is heard.
	passOver   = time.Second
	silentOver = 3 * time.Second
	// echoOver is how long one is passed over that hears from this process itself. It
	// says so at once.
	echoOver = 2 * time.Second
	// lostOver is how long one is passed over that the store doesn't answer: it tries
	// the store again each second or two, and whoever turns back to it meanwhile waits
	// until that try is late.
	lostOver = 8 * time.Second
	// leaveOver is how long one is passed over that leaves: longer than it takes to
	// stop and to start again.
	leaveOver = 12 * time.Second
	// aloneEvery is the pause between two tries of the store by a process that
	// hears from others which don't reach it. Keys are believed for twice as long.
	aloneEvery = 2500 * time.Millisecond
)

// Answer is what came of asking a process.
type Answer int

// The answers.
const (
	// Silent means that no answer came in time.
	Silent Answer = iota
	// Away means that the process has nothing to tell yet.
	Away
	// Lost means that the store doesn't answer the process.
	Lost
	// Echo means that the process knows only what the asking one has told it.
	Echo
	// Leaving means that the process is about to end, which it says at once.
	Leaving
	// Fresh means that it told what the store tells.
	Fresh
)

// Choice chooses whom one process asks. Set the exported fields before the first
// call. It is not safe for concurrent use.
type Choice struct {
	// Own is the name of the process.
	Own string

	heard map[string]heard
	// alone is when the store was last tried though others were asked, and failed
	// when it last did not answer this process.
	alone, failed time.Time
	// uninformed says that the last process that was asked told nothing, and the store has
	// not answered since.
	uninformed bool
}

// heard is what last came of asking a process.
type heard struct {
	answer Answer
	at     time.Time
}

// usable reports whether the process may be asked again.
func (h heard) usable(now time.Time) bool {
	switch h.answer {
	case Fresh:
		return true
	case Away:
		return now.Sub(h.at) >= passOver
	case Lost:
		return now.Sub(h.at) >= lostOver
	case Echo:
		return now.Sub(h.at) >= echoOver
	case Leaving:
		return now.Sub(h.at) >= leaveOver
	default:
		return now.Sub(h.at) >= silentOver
	}
}

// Source returns the name of the process to ask, or "" for the store. Others are
// the names of all processes of the data centre; the own one may be among them.
//
// Those that had nothing to tell lately lose their places to as many after them: three
// that are cut off from the store say nothing of whether it answers the others. And who
// may ask it does so once when it was last told nothing, as the next that it would ask may
// be cut off as well.
func (c *Choice) Source(others []string, now time.Time) string {
	order := c.order(others, now)
	own := slices.Index(order, c.Own)
	useful := c.useful(order[:own], now)
	lost := min(own-len(useful), standing)
	stands := own-lost < standing
	switch {
	case stands && now.Sub(c.failed) < passOver:
		// Those after this one may reach the store.
		useful = c.useful(slices.Delete(order, own, own+1), now)
	case stands && c.uninformed:
		return ""
	}
	if len(useful) > 0 {
		return useful[0]
	}
	if stands {
		return ""
	}
	if now.Sub(c.alone) >= aloneEvery {
		c.alone = now
		return ""
	}
	for _, name := range order[:standing] {
		if a := c.heard[name].answer; a == Away || a == Lost {
			return name
		}
	}
	return ""
}

// useful returns those that may have something to tell, of the processes that may come to
// ask the store, in the same order.
func (c *Choice) useful(all []string, now time.Time) []string {
	var out []string
	for _, name := range all[:min(len(all), 2*standing)] {
		if h, ok := c.heard[name]; !ok || h.usable(now) {
			out = append(out, name)
		}
	}
	return out
}

// order returns all processes that aren't about to end, in the order in which they ask
// the store.
//
// Guard: a rolling restart stops the three that may ask at once. Did they keep their
// places, all others would be blind for as long as those serve their last callers.
func (c *Choice) order(others []string, now time.Time) []string {
	all := append(slices.Clone(others), c.Own)
	all = slices.DeleteFunc(all, func(name string) bool {
		h := c.heard[name]
		return h.answer == Leaving && !h.usable(now)
	})
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return slices.Compact(all)
}

// NoteStore notes whether the store answered this process.
func (c *Choice) NoteStore(answered bool, now time.Time) {
	c.failed, c.uninformed = time.Time{}, false
	if !answered {
		c.failed = now
	}
}

// Note notes what came of asking a process.
func (c *Choice) Note(name string, a Answer, now time.Time) {
	if c.heard == nil {
		c.heard = map[string]heard{}
	}
	// Guard: processes come and go by new names for as long as this one runs.
	for old, h := range c.heard {
		if now.Sub(h.at) > time.Minute {
			delete(c.heard, old)
		}
	}
	c.heard[name] = heard{answer: a, at: now}
	c.uninformed = a != Fresh && a != Leaving
}
