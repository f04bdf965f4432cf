package mirror

import "time"

// Coverage states which changes an update covers, those of Copy.SeparateKey included. It holds for a process that
// has applied the update and has the value of SeparateKey at SeparateRevision or a later one.
//
// It is the only evidence by which a process may poll the service from a later revision, or count as knowing all
// changes made before a time. The revision of an update is none: a process passes on the other keys' changes
// before it has the value of SeparateKey, and the process that it passes them on to can't see what they lack.
type Coverage struct {
	// CoveredRevision is the revision up to which all changes are covered, or 0 if that is not known.
	CoveredRevision int64
	// RequestedAt is the time before which all changes are covered. Without SeparateKey it is the time at which
	// the request was sent to the service.
	RequestedAt time.Time
	// SeparateRevision is the revision of the value of SeparateKey that is required, or 0 if the update contains
	// all that it covers.
	SeparateRevision int64
}

// advance adds what another coverage states of the same process.
func (c *Coverage) advance(o Coverage) {
	c.CoveredRevision = max(c.CoveredRevision, o.CoveredRevision)
	if o.RequestedAt.After(c.RequestedAt) {
		c.RequestedAt = o.RequestedAt
	}
	c.SeparateRevision = max(c.SeparateRevision, o.SeparateRevision)
}

// joined returns what two pages of one update cover together, of which c is the later one. That is no more than
// each of them covers, so the value that the later one requires is enough.
func (c Coverage) joined(earlier Coverage) Coverage {
	c.CoveredRevision = min(c.CoveredRevision, earlier.CoveredRevision)
	if earlier.RequestedAt.Before(c.RequestedAt) {
		c.RequestedAt = earlier.RequestedAt
	}
	return c
}
