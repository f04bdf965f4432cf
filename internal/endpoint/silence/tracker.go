package silence

import "time"

const (
	// recent is how recently another endpoint of the group must have been heard for a silence to
	// grow. Streams of a sound engine pause for up to 150 ms.
	recent = 250 * time.Millisecond
	// maxStep bounds by how much a silence grows between two calls of Advance. An observer that stood
	// still finds what came meanwhile unread, and must not take it for missing.
	maxStep = 150 * time.Millisecond
)

// Tracker measures for how long endpoints with requests of one observer have not been heard, while
// others of the same group were. The zero value is ready for use. It is not safe for concurrent use.
type Tracker struct {
	endpoints  map[string]*endpoint
	advancedAt time.Time
	// standing holds for how long nothing has been heard of a group. Groups that go on are missing.
	standing map[string]time.Duration
}

// endpoint is what a Tracker knows of one endpoint.
type endpoint struct {
	group string
	// open is the number of requests that the endpoint has, and begun of those that are being
	// answered.
	open, begun int
	// heardAt is when a part of an answer last arrived, or zero.
	heardAt time.Time
	// heard means that this was after the last call of Advance, and progressed that a part of an answer was
	// among what arrived since.
	heard, progressed bool
	// silence is for how long the endpoint, while it had requests, has not been heard although others
	// of its group were.
	silence time.Duration
}

// Sent records that a request was sent to an endpoint of a group. Ended must follow. A group is a set of
// endpoints that go on or stand together.
func (t *Tracker) Sent(id, group string) {
	if t.endpoints == nil {
		t.endpoints = map[string]*endpoint{}
	}
	e := t.endpoints[id]
	if e == nil {
		e = &endpoint{}
		t.endpoints[id] = e
	}
	e.group = group
	e.open++
}

// SetGroup records that an endpoint belongs to a group. It has no effect on one of which nothing is known.
func (t *Tracker) SetGroup(id, group string) {
	if e := t.endpoints[id]; e != nil {
		e.group = group
	}
}

// Begun records that the answer to a request has begun. Heard records that its first part arrived.
func (t *Tracker) Begun(id string) {
	if e := t.endpoints[id]; e != nil {
		e.begun++
	}
}

// Progressed records that a part of an answer arrived, after Heard. An endpoint whose group stands still
// turns requests away.
func (t *Tracker) Progressed(id string) {
	if e := t.endpoints[id]; e != nil {
		e.progressed = true
		delete(t.standing, e.group)
	}
}

// Heard records that something of an answer arrived.
func (t *Tracker) Heard(id string, now time.Time) {
	if e := t.endpoints[id]; e != nil {
		e.heardAt, e.heard, e.silence = now, true, 0
	}
}

// Ended records that a request has ended. begun means that Begun was called for it.
func (t *Tracker) Ended(id string, begun bool) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.open = max(0, e.open-1)
	if begun {
		e.begun = max(0, e.begun-1)
	}
}

// Answering reports whether an endpoint has a request whose answer has begun.
func (t *Tracker) Answering(id string) bool {
	e := t.endpoints[id]
	return e != nil && e.begun > 0
}

// Forget discards what is known of an endpoint that has gone.
func (t *Tracker) Forget(id string) { delete(t.endpoints, id) }

// Advance lets the silences grow by the time since the last call, also that of an endpoint for which
// unseen returns true: its group is reported at present, and the endpoint is not. It must be called
// several times in the shortest silence that matters.
func (t *Tracker) Advance(unseen func(id string) bool, now time.Time) {
	step := min(now.Sub(t.advancedAt), maxStep)
	t.advancedAt = now
	if step <= 0 {
		return
	}
	heard := t.lastHeard()
	t.advanceGroups(step)
	for id, e := range t.endpoints {
		othersHeard := now.Sub(heard[e.group].besides(id)) <= recent
		if !e.heard && e.open > 0 && (othersHeard || unseen(id)) {
			e.silence += step
		}
		e.heard, e.progressed = false, false
		if e.open == 0 && e.silence == 0 && now.Sub(e.heardAt) > recent {
			delete(t.endpoints, id) // nothing is expected of it, and it says nothing of others
		}
	}
}

// Silent returns the endpoints that have a silence.
func (t *Tracker) Silent() []string {
	var ids []string
	for id, e := range t.endpoints {
		if e.silence > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Silence returns for how long an endpoint with requests has not been heard while others of its group
// were. An endpoint without requests keeps its silence until it is heard again.
func (t *Tracker) Silence(id string) time.Duration {
	if e := t.endpoints[id]; e != nil {
		return e.silence
	}
	return 0
}

// HeardAt returns when an endpoint was last heard, or the zero time if that was not recently.
func (t *Tracker) HeardAt(id string) time.Time {
	if e := t.endpoints[id]; e != nil {
		return e.heardAt
	}
	return time.Time{}
}

// Reset ends the silence of an endpoint that is to be tried again.
func (t *Tracker) Reset(id string) {
	if e := t.endpoints[id]; e != nil {
		e.silence = 0
	}
}

// lastTwo holds which endpoint of a group was heard last, and when the last of the others was.
type lastTwo struct {
	id         string
	at, others time.Time
}

// besides returns when an endpoint other than id was last heard.
func (l lastTwo) besides(id string) time.Time {
	if l.id == id {
		return l.others
	}
	return l.at
}

// lastHeard returns which endpoints were heard last, by group.
func (t *Tracker) lastHeard() map[string]lastTwo {
	out := map[string]lastTwo{}
	for id, e := range t.endpoints {
		l := out[e.group]
		switch {
		case e.heardAt.After(l.at):
			l = lastTwo{id: id, at: e.heardAt, others: l.at}
		case e.heardAt.After(l.others):
			l.others = e.heardAt
		}
		out[e.group] = l
	}
	return out
}
