package silence

import "time"

const (
	// MinSilence is the least silence that means anything: sound streams pause for up to 150 ms.
	MinSilence = 250 * time.Millisecond
	// MinReportLag is by how much longer ago than the others of its group an endpoint was seen, by those
	// who report its load, to count as not seen. They report each 100 ms, and a lost packet
	// delays one report by some 200 ms.
	MinReportLag = 400 * time.Millisecond
	// MinUnconfirmed is the least silence that counts without such reports: half of the time for which
	// callers wait for an event.
	MinUnconfirmed = time.Second
	// usualUnconfirmed is how many times the usual time to the next part of an answer such a silence
	// must last. An overloaded service begins its answers after seconds.
	usualUnconfirmed = 4
)

// Observation is what is known of an endpoint and of others of its group.
type Observation struct {
	// Silence is for how long the endpoint has not been heard while others were.
	Silence time.Duration
	// Usual is the time that its service usually takes to the next part of an answer: the pause between
	// two parts if an answer of the endpoint has begun, and else the time to the first part.
	Usual time.Duration
	// Reported means that someone else reports at present which endpoints of the group it sees, and Lag
	// is by how much longer ago it saw this one than the others.
	Reported bool
	Lag      time.Duration
}

// Unseen reports whether others see the endpoint's group and not the endpoint.
func (o Observation) Unseen() bool { return o.Reported && o.Lag >= MinReportLag }

// Verdict says what a silence means.
type Verdict int

// The verdicts.
const (
	// Audible means that there is no reason to avoid the endpoint.
	Audible Verdict = iota
	// Unseen means that others don't see the endpoint, which the observer has not found silent. New
	// requests go elsewhere, unless the observer hears the endpoint.
	Unseen
	// Silent means that the endpoint can't be reached while its service goes on. Requests that it has
	// go on elsewhere, as nothing tells it that their callers have left.
	Silent
)

// Judge decides what is known of an endpoint's silence. The loss that a verdict of Silent prevents is a
// caller's whole wait; what it costs if it is wrong is an attempt and the prompt that is read again. So one
// observer's silence counts for much less than one that is confirmed by another's report.
func Judge(o Observation) Verdict {
	unseen := o.Unseen()
	switch {
	case unseen && o.Silence >= MinSilence:
		return Silent
	case o.Silence >= max(MinUnconfirmed, usualUnconfirmed*o.Usual):
		return Silent
	case unseen:
		return Unseen
	default:
		return Audible
	}
}
