package directory

import (
	"sort"
	"time"
)

// Entry is an endpoint's entry in the store.
type Entry struct {
	// ID is unique among running endpoints; a restarted endpoint may keep it.
	ID string
	// StartMillis is the start time of the endpoint in milliseconds since the Unix
	// epoch.
	StartMillis uint64
	// Service is the name of the endpoint's service, Address its IP:port and DataCentre
	// its data centre.
	Service, Address, DataCentre string
	// Slots is the number of requests that the endpoint runs concurrently, or zero if
	// the entry does not state it.
	Slots int
	// Draining reports that the endpoint is shutting down.
	Draining bool
	// Cold is the time that remained of the endpoint's cold start when it wrote the
	// entry.
	Cold time.Duration
}

// Endpoint is an endpoint that may receive requests.
type Endpoint struct {
	Entry
	// ColdUntil is the end of the endpoint's cold start.
	ColdUntil time.Time
}

// ColdAt reports whether the endpoint is in cold start at now.
func (e *Endpoint) ColdAt(now time.Time) bool { return now.Before(e.ColdUntil) }

// record is an endpoint with the state that the directory keeps for it.
type record struct {
	endpoint Endpoint
	// retainedUntil is when the retention of a vanished entry ends; zero if the entry
	// is present.
	retainedUntil time.Time
	// replaced reports that another endpoint is known to have taken over the address,
	// whatever the store entry says.
	replaced bool
}

// usable reports whether the endpoint may receive new requests.
func (d *Directory) usable(rec *record, now time.Time) bool {
	if rec.replaced || rec.endpoint.Draining || d.outOfService[rec.endpoint.DataCentre] || d.leaving.covers(rec.endpoint.Entry) {
		return false
	}
	return rec.retainedUntil.IsZero() || now.Before(rec.retainedUntil)
}

// Directory holds the known endpoints. Set the exported fields before the first call.
// It is not safe for concurrent use.
type Directory struct {
	// RetentionAfterOutage is how long entries that vanished while the store was
	// unavailable are retained after its recovery. Running endpoints write their
	// entries again within this time.
	RetentionAfterOutage time.Duration
	// ColdStart returns the duration of the cold start of a service's endpoints; nil
	// means that they have none. Endpoints that appear after the first listing, and
	// those of a data centre that is put back into service, count as just started,
	// because it isn't known whether they are cold.
	ColdStart func(service string) time.Duration

	entries map[string]*record
	// byAddress holds the IDs of the entries by address.
	byAddress    map[string]map[string]bool
	outOfService map[string]bool
	leaving      leavingMarks
	// storeRecovered is when the store last recovered; zero if it has not failed.
	storeRecovered time.Time
	// nextExpiry is when the first retention of a vanished entry ends; zero if no entry
	// is retained.
	nextExpiry time.Time
	// listed reports that the first full listing has been applied. Endpoints that
	// appear later have started while this process ran.
	listed bool
}

// StoreRecovered records that the store recovered from an outage at now.
func (d *Directory) StoreRecovered(now time.Time) { d.storeRecovered = now }

// Put adds or updates an endpoint from its current store entry. It ignores an entry
// of an earlier start than the one known.
func (d *Directory) Put(e Entry, now time.Time) {
	d.initMaps()
	rec := d.entries[e.ID]
	if rec != nil && e.StartMillis < rec.endpoint.StartMillis {
		return
	}
	isNew := rec == nil || e.StartMillis != rec.endpoint.StartMillis
	if rec != nil {
		d.unindex(rec.endpoint.Entry)
	}
	if isNew {
		rec = &record{}
		d.entries[e.ID] = rec
	}
	rec.retainedUntil = time.Time{}
	coldUntil := now.Add(e.Cold)
	if isNew && d.listed {
		coldUntil = latest(coldUntil, now.Add(d.coldStart(e.Service)))
	}
	rec.endpoint.Entry = e
	d.index(e)
	rec.endpoint.ColdUntil = latest(rec.endpoint.ColdUntil, coldUntil)
	d.markReplaced(rec)
}

// markReplaced marks endpoints at whose address a later endpoint has started.
//
// A restarted endpoint often has another ID, and the entry of its predecessor remains
// for some seconds until it expires. Requests sent for the predecessor are answered
// as misdirected and use up the attempts that their route allows.
func (d *Directory) markReplaced(rec *record) {
	for id := range d.byAddress[rec.endpoint.Address] {
		other := d.entries[id]
		if other.endpoint.StartMillis < rec.endpoint.StartMillis {
			other.replaced = true
		} else if other.endpoint.StartMillis > rec.endpoint.StartMillis {
			rec.replaced = true
		}
	}
}

// index adds an entry to byAddress.
func (d *Directory) index(e Entry) {
	ids := d.byAddress[e.Address]
	if ids == nil {
		ids = map[string]bool{}
		d.byAddress[e.Address] = ids
	}
	ids[e.ID] = true
}

// unindex removes an entry from byAddress.
func (d *Directory) unindex(e Entry) {
	delete(d.byAddress[e.Address], e.ID)
	if len(d.byAddress[e.Address]) == 0 {
		delete(d.byAddress, e.Address)
	}
}

// drop removes an entry.
func (d *Directory) drop(id string) {
	d.unindex(d.entries[id].endpoint.Entry)
	delete(d.entries, id)
}

// MarkMisdirected records that another endpoint answered at the address of the endpoint
// with the ID that started at startMillis, which is therefore gone.
func (d *Directory) MarkMisdirected(id string, startMillis uint64) {
	if rec := d.entries[id]; rec != nil && rec.endpoint.StartMillis == startMillis {
		rec.replaced = true
	}
}

// MarkLeaving records that the endpoint with the ID that started at startMillis has said itself, at
// now, that it is shutting down. It receives no new requests, whatever its entry says: the entry
// may not say so, or this process may be cut off from the store.
func (d *Directory) MarkLeaving(id string, startMillis uint64, now time.Time) {
	d.leaving.add(id, startMillis, now)
	d.leaving.expire(now, func(id string) bool { return d.entries[id] != nil })
}

// Remove records that an entry has vanished from the store.
//
// Entries expire while the store is unavailable, because endpoints cannot renew them.
// The store reports these removals once it has recovered; an entry process that
// applied them at once would refuse all requests for up to two seconds, until the
// endpoints have written their entries again. A vanished entry is therefore retained
// until RetentionAfterOutage after the recovery; an entry that is missing after that is
// gone.
func (d *Directory) Remove(id string, now time.Time) {
	rec := d.entries[id]
	if rec == nil {
		return
	}
	until := d.storeRecovered.Add(d.RetentionAfterOutage)
	if d.storeRecovered.IsZero() || !now.Before(until) || rec.endpoint.Draining {
		d.drop(id)
		return
	}
	if rec.retainedUntil.IsZero() {
		rec.retainedUntil = until
		d.noteExpiry(until)
	}
}

func (d *Directory) noteExpiry(expiry time.Time) {
	if d.nextExpiry.IsZero() || expiry.Before(d.nextExpiry) {
		d.nextExpiry = expiry
	}
}

// RetentionExpired reports whether the retention of a vanished entry has ended since
// the last call of Endpoints.
func (d *Directory) RetentionExpired(now time.Time) bool {
	return !d.nextExpiry.IsZero() && !now.Before(d.nextExpiry)
}

// ApplyListing applies a full listing of the store: entries whose IDs are not in ids
// have vanished.
func (d *Directory) ApplyListing(ids map[string]bool, now time.Time) {
	d.initMaps()
	for _, id := range d.ids() {
		if !ids[id] {
			d.Remove(id, now)
		}
	}
	d.listed = true
}

// SetOutOfService takes a data centre out of service or puts it back. Endpoints of a
// data centre that is put back may have become cold unnoticed, so they count as cold.
func (d *Directory) SetOutOfService(dataCentre string, out bool, now time.Time) {
	d.initMaps()
	if d.outOfService[dataCentre] == out {
		return
	}
	d.outOfService[dataCentre] = out
	if out {
		return
	}
	for _, rec := range d.entries {
		if rec.endpoint.DataCentre == dataCentre {
			rec.endpoint.ColdUntil = latest(rec.endpoint.ColdUntil, now.Add(d.coldStart(rec.endpoint.Service)))
		}
	}
}

// OutOfService returns the data centres that are out of service, sorted by name.
func (d *Directory) OutOfService() []string {
	var out []string
	for dc, isOut := range d.outOfService {
		if isOut {
			out = append(out, dc)
		}
	}
	sort.Strings(out)
	return out
}

// ExtendColdStart records that an endpoint reported the time that remains of its cold
// start.
func (d *Directory) ExtendColdStart(id string, cold time.Duration, now time.Time) {
	if rec := d.entries[id]; rec != nil {
		rec.endpoint.ColdUntil = latest(rec.endpoint.ColdUntil, now.Add(cold))
	}
}

// Endpoints returns copies of the endpoints that may receive new requests, sorted by
// ID. It drops vanished entries whose retention has ended.
func (d *Directory) Endpoints(now time.Time) []Endpoint {
	var out []Endpoint
	d.nextExpiry = time.Time{}
	for _, id := range d.ids() {
		rec := d.entries[id]
		if !rec.retainedUntil.IsZero() && !now.Before(rec.retainedUntil) {
			d.drop(id)
			continue
		}
		if !rec.retainedUntil.IsZero() {
			d.noteExpiry(rec.retainedUntil)
		}
		if !d.usable(rec, now) {
			continue
		}
		out = append(out, rec.endpoint)
	}
	return out
}

// Usable returns the endpoint with the ID and whether it may receive new requests.
func (d *Directory) Usable(id string, now time.Time) (Endpoint, bool) {
	rec := d.entries[id]
	if rec == nil || !d.usable(rec, now) {
		return Endpoint{}, false
	}
	return rec.endpoint, true
}

// Len returns the number of known entries, usable or not.
func (d *Directory) Len() int { return len(d.entries) }

func (d *Directory) initMaps() {
	if d.entries == nil {
		d.entries, d.byAddress = map[string]*record{}, map[string]map[string]bool{}
		d.outOfService = map[string]bool{}
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
