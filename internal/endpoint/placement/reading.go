package placement

import "time"

const (
	// readingWeight is the weight, in streams, that prompt tokens in progress approach. It is below
	// one stream, so that they only decide between endpoints with equally many streams.
	readingWeight = 0.5
	// readingTime is how long the prompts of streams that other entries have started count as in
	// progress: about two passes.
	readingTime = 150 * time.Millisecond
)

// promptLoad holds the prompt tokens that an endpoint has not finished reading.
type promptLoad struct {
	// own are those of this entry's attempts, and others the estimated ones of streams that other
	// entries have started until othersAt.
	own, others float64
	othersAt    time.Time
}

// noteOthers records that the number of streams from other entries has grown by n.
func (p *promptLoad) noteOthers(n, meanTokens float64, now time.Time) {
	if now.Sub(p.othersAt) >= readingTime {
		p.others = 0
	}
	p.others += n * meanTokens
	p.othersAt = now
}

// tokens returns the number of prompt tokens in progress.
func (p *promptLoad) tokens(now time.Time) float64 {
	if now.Sub(p.othersAt) >= readingTime {
		return p.own
	}
	return p.own + p.others
}

// readingScore returns the score, in streams, of the prompt tokens that e has in progress.
//
// All ranks of a group wait in each pass for the one that reads most. Two long prompts on one rank
// lengthen the pass of all streams of the group; on two ranks they are read at the same time.
func (b *Balancer) readingScore(e *endpoint, q *Query, now time.Time) float64 {
	if q.PromptTokens <= 0 {
		return 0
	}
	n := e.prompts.tokens(now)
	return readingWeight * n / (n + b.meanTokens)
}
