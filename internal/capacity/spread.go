package capacity

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/measure"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

const (
	// spreadDataCentres is the number of data centres at the target size.
	spreadDataCentres = 19
	// spreadRuns is the number of changes that a mean is taken over.
	spreadRuns = 20
	// mostRounds ends a run that does not spread.
	mostRounds = 1000
)

// Spread measures how a change spreads between entries, and what it moves.
func Spread() Section {
	return Section{Name: "spread", Tables: spreadTables}
}

// spreadCost are means over changes.
type spreadCost struct {
	rounds, known, turns, messages, bytes, plainTurns float64
}

func spreadTables(ctx context.Context) ([]measure.Table, error) {
	sizes := []float64{3, 9, 27, 190, 670}
	rounds := series{what: "rounds of rumours", unit: "mean"}
	known := series{what: "entries that rumours reach", unit: "%"}
	turns := series{what: "turns until all know", unit: "mean"}
	messages := series{what: "messages for an entry and change", unit: "1"}
	bytes := series{what: "bytes for an entry and change, out", unit: "B"}
	plain := series{what: "turns until all know, without rumours", unit: "mean"}
	for _, n := range sizes {
		c := spreadOf(ctx, int(n))
		rounds.values = append(rounds.values, c.rounds)
		known.values = append(known.values, c.known)
		turns.values = append(turns.values, c.turns)
		messages.values = append(messages.values, c.messages)
		bytes.values = append(bytes.values, c.bytes)
		plain.values = append(plain.values, c.plainTurns)
	}
	notes := []string{
		"Entries over 19 data centres; one learns a change, the platform tells nobody.",
		"A round takes one exchange, a turn 0.5 s. The document lists 128 changes.",
	}
	return []measure.Table{table("Spread of a change", "entries", notes, sizes, rounds, known, turns, messages, bytes, plain)}, nil
}

func spreadOf(ctx context.Context, n int) spreadCost {
	var c spreadCost
	h, body := headOf(200, 16)
	m := newMesh(n, spreadDataCentres, h, body)
	for i := range spreadRuns {
		h = after(h, 1000+i, config.SwitchPreset{Name: "ordinary"})
		m.messages, m.bytes = 0, 0
		m.nodes[i%n].store.Merge(h)
		rounds, known, turns := m.spread(ctx, h.Generation(), true)
		c.rounds += float64(rounds) / spreadRuns
		c.known += 100 * float64(known) / float64(n) / spreadRuns
		c.turns += float64(turns) / spreadRuns
		c.messages += float64(m.messages) / float64(n) / spreadRuns
		c.bytes += float64(m.bytes) / float64(n) / spreadRuns
		m.settle()
		h = after(h, 5000+i, config.SwitchPreset{Name: "ordinary"})
		m.nodes[i%n].store.Merge(h)
		_, _, turns = m.spread(ctx, h.Generation(), false)
		c.plainTurns += float64(turns) / spreadRuns
		m.settle()
	}
	return c
}

// settle forgets who has learnt something that it has not told.
func (m *mesh) settle() {
	for _, e := range m.nodes {
		e.learnt()
	}
}

// spread runs until all know the generation. It returns the rounds of rumours
// and how many entries they reached, and the turns that were needed after them.
func (m *mesh) spread(ctx context.Context, generation uint64, rumours bool) (rounds, known, turns int) {
	for rumours && rounds < mostRounds {
		before := m.knowing(generation)
		m.rumours(ctx)
		if m.knowing(generation) == before {
			break
		}
		rounds++
	}
	known = m.knowing(generation)
	for ; m.knowing(generation) < len(m.nodes) && turns < mostRounds; turns++ {
		m.turns(ctx)
	}
	return rounds, known, turns
}
