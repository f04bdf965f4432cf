package directory

import (
	"sort"
	"time"
)

// Entry is what the store holds of one endpoint.
type Entry struct {
	// ID is unique, but an endpoint that starts again may keep it.
	ID string
	// Born is when the endpoint started, in milliseconds since 1970.
	Born uint64
	// Service, Address (IP:port) and DataCentre tell what and where it is.
	Service, Address, DataCentre string
	// Slots is how many requests it runs at once, or zero if it doesn't say.
	Slots int
	// Draining says that it is about to leave.
	Draining bool
	// Cold is how long it remained in cold start when it wrote the entry.
	Cold time.Duration
}

// Endpoint is an endpoint that may be sent work.
type Endpoint struct {
	Entry
	// ColdUntil is the end of its cold start.
	ColdUntil time.Time
}

// ColdAt reports whether the endpoint is in cold start.
func (e *Endpoint) ColdAt(now time.Time) bool { return now.Before(e.ColdUntil) }

// known is an endpoint and what the directory remembers of it.
type known struct {
	endpoint Endpoint
	// lapsed is until when a vanished entry still holds; zero if it is there.
	lapsed time.Time
	// ended says that the endpoint is known to be there no more, whatever its
	// entry says.
	ended bool
}

// usable reports whether the endpoint may be sent new work.
func (d *Directory) usable(k *known, now time.Time) bool {
	if k.ended || k.endpoint.Draining || d.out[k.endpoint.DataCentre] {
		return false
	}
	return k.lapsed.IsZero() || now.Before(k.lapsed)
}

// Directory holds the endpoints. Set the exported fields before the first call.
// It is not safe for concurrent use.
type Directory struct {
	// LapseHold is how long entries that vanished while the store was away
	// hold after its return. Living endpoints write theirs again within it.
	LapseHold time.Duration
	// ColdStart returns how long a starting endpoint of a service is cold; an
	// endpoint of which nothing is known counts as just started.
	ColdStart func(service string) time.Duration

	entries map[string]*known
	out     map[string]bool
	// returned is when the store last came back.
	returned time.Time
	// lapse is when the first hold of a vanished entry ends; zero if none holds.
	lapse time.Time
	// settled says that the first whole listing has been taken in: endpoints
	// that appear later have started while this process ran.
	settled bool
}

// Returned notes that the store answers again after it was away.
func (d *Directory) Returned(now time.Time) { d.returned = now }

// Put takes in an entry as it stands in the store now.
func (d *Directory) Put(e Entry, now time.Time) {
	d.init()
	k := d.entries[e.ID]
	if k != nil && e.Born < k.endpoint.Born {
		return
	}
	fresh := k == nil || e.Born != k.endpoint.Born
	if fresh {
		k = &known{}
		d.entries[e.ID] = k
	}
	k.lapsed = time.Time{}
	until := now.Add(e.Cold)
	if fresh && d.settled {
		until = latest(until, now.Add(d.coldStart(e.Service)))
	}
	k.endpoint.Entry = e
	k.endpoint.ColdUntil = latest(k.endpoint.ColdUntil, until)
	d.supersede(k)
}

// supersede marks endpoints as ended at whose address another one has started
// since.
//
// Guard: an endpoint that starts again often does so under another id, and the
// entry of the one before stays until it lapses, some seconds. Requests sent
// there are answered as misdirected, and use up the attempts that their route
// allows.
func (d *Directory) supersede(k *known) {
	for _, other := range d.entries {
		if other == k || other.endpoint.Address != k.endpoint.Address {
			continue
		}
		if other.endpoint.Born < k.endpoint.Born {
			other.ended = true
		} else if other.endpoint.Born > k.endpoint.Born {
			k.ended = true
		}
	}
}

// Misdirected notes that the address of an endpoint was answered by another one:
// the endpoint that started at born is there no more.
func (d *Directory) Misdirected(id string, born uint64) {
	if k := d.entries[id]; k != nil && k.endpoint.Born == born {
		k.ended = true
	}
}

// Remove takes in that an entry has vanished.
//
// Guard: entries lapse while the store is away, because endpoints can't renew
// them. The store tells of that when it is back, and an entry VM that believed
// it would refuse all requests until the endpoints have written theirs again,
// for up to two seconds. So within LapseHold of its return a vanished entry
// holds on; one that is missing after that is gone.
func (d *Directory) Remove(id string, now time.Time) {
	k := d.entries[id]
	if k == nil {
		return
	}
	hold := d.returned.Add(d.LapseHold)
	if d.returned.IsZero() || !now.Before(hold) || k.endpoint.Draining {
		delete(d.entries, id)
		return
	}
	if k.lapsed.IsZero() {
		k.lapsed = hold
		d.noteLapse(hold)
	}
}

func (d *Directory) noteLapse(hold time.Time) {
	if d.lapse.IsZero() || hold.Before(d.lapse) {
		d.lapse = hold
	}
}

// Lapsed reports whether a vanished entry has ceased to hold since Endpoints was last
// called.
func (d *Directory) Lapsed(now time.Time) bool { return !d.lapse.IsZero() && !now.Before(d.lapse) }

// Whole takes in which entries the store holds in all; others have vanished.
func (d *Directory) Whole(ids map[string]bool, now time.Time) {
	d.init()
	for _, id := range d.ids() {
		if !ids[id] {
			d.Remove(id, now)
		}
	}
	d.settled = true
}

// SetOut says that a data centre is taken out of service or back in. Endpoints
// of one that comes back may have turned cold unseen, so they count as cold.
func (d *Directory) SetOut(dataCentre string, out bool, now time.Time) {
	d.init()
	if d.out[dataCentre] == out {
		return
	}
	d.out[dataCentre] = out
	if out {
		return
	}
	for _, k := range d.entries {
		if k.endpoint.DataCentre == dataCentre {
			k.endpoint.ColdUntil = latest(k.endpoint.ColdUntil, now.Add(d.coldStart(k.endpoint.Service)))
		}
	}
}

// Outs returns the data centres that are out of service.
func (d *Directory) Outs() []string {
	var out []string
	for dc, is := range d.out {
		if is {
			out = append(out, dc)
		}
	}
	sort.Strings(out)
	return out
}

// Turned notes that an endpoint said itself for how long it is cold.
func (d *Directory) Turned(id string, cold time.Duration, now time.Time) {
	if k := d.entries[id]; k != nil {
		k.endpoint.ColdUntil = latest(k.endpoint.ColdUntil, now.Add(cold))
	}
}

// Endpoints returns the endpoints that may be sent new work, in order of their
// ids. Each is a copy.
func (d *Directory) Endpoints(now time.Time) []Endpoint {
	var out []Endpoint
	d.lapse = time.Time{}
	for _, id := range d.ids() {
		k := d.entries[id]
		if !k.lapsed.IsZero() && !now.Before(k.lapsed) {
			delete(d.entries, id)
			continue
		}
		if !k.lapsed.IsZero() {
			d.noteLapse(k.lapsed)
		}
		if !d.usable(k, now) {
			continue
		}
		out = append(out, k.endpoint)
	}
	return out
}

// Usable returns the endpoint with the id if it may be sent new work.
func (d *Directory) Usable(id string, now time.Time) (Endpoint, bool) {
	k := d.entries[id]
	if k == nil || !d.usable(k, now) {
		return Endpoint{}, false
	}
	return k.endpoint, true
}

// Len returns how many entries are known, whether usable or not.
func (d *Directory) Len() int { return len(d.entries) }

func (d *Directory) init() {
	if d.entries == nil {
		d.entries = map[string]*known{}
		d.out = map[string]bool{}
	}
}

func (d *Directory) coldStart(service string) time.Duration {
	if d.ColdStart == nil {
		return 0
	}
	return d.ColdStart(service)
}

func (d *Directory) ids() []string {
	ids := make([]string, 0, len(d.entries))
	for id := range d.entries {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
