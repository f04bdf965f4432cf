package preset

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Preset is a preset without faults. It is never changed after Parse, so any
// number of goroutines may read it.
type Preset struct {
	name         string
	note         string
	queueLength  int
	retryPercent int
	dataCentres  []DataCentre
	accounts     []Account
	models       []Model
	services     []Service
	priorities   []Priority
	byAccount    map[string]int
	byKey        map[[sha256.Size]byte]int
	routes       map[string]Route
}

// Name returns the preset's name.
func (p *Preset) Name() string { return p.name }

// Note returns what the operators wrote about the preset.
func (p *Preset) Note() string { return p.note }

// QueueLength returns how many requests may wait at one entry.
func (p *Preset) QueueLength() int { return p.queueLength }

// RetryBudget returns how many retries an entry may make for each request
// that it admits, as a fraction between 0 and 1.
func (p *Preset) RetryBudget() float64 { return float64(p.retryPercent) / 100 }

// DataCentres returns the data centres in the document's order.
func (p *Preset) DataCentres() []DataCentre { return append([]DataCentre(nil), p.dataCentres...) }

// HasDataCentre reports whether the preset names the data centre.
func (p *Preset) HasDataCentre(name string) bool {
	for _, d := range p.dataCentres {
		if d.name == name {
			return true
		}
	}
	return false
}

// Accounts returns the accounts in the document's order.
func (p *Preset) Accounts() []Account { return append([]Account(nil), p.accounts...) }

// Account returns the account of a name.
func (p *Preset) Account(name string) (Account, bool) {
	i, ok := p.byAccount[name]
	if !ok {
		return Account{}, false
	}
	return p.accounts[i], true
}

// AccountByKey returns the account that the caller's key belongs to.
//
// The key is hashed before it is compared, so the time that the look-up takes
// tells at most something about the SHA-256 of a guess, from which no further
// guess can be built; the last comparison takes constant time.
func (p *Preset) AccountByKey(key string) (Account, bool) {
	sum := sha256.Sum256([]byte(key))
	i, ok := p.byKey[sum]
	if !ok {
		return Account{}, false
	}
	a := p.accounts[i]
	for _, h := range a.keyHashes {
		if subtle.ConstantTimeCompare(h[:], sum[:]) == 1 {
			return a, true
		}
	}
	return Account{}, false
}

// Models returns the models in the document's order.
func (p *Preset) Models() []Model { return append([]Model(nil), p.models...) }

// Services returns the plain services in the document's order.
func (p *Preset) Services() []Service { return append([]Service(nil), p.services...) }

// Route returns the model or service of a name.
func (p *Preset) Route(name string) (Route, bool) {
	r, ok := p.routes[name]
	return r, ok
}

// Priorities returns the priorities in the document's order.
func (p *Preset) Priorities() []Priority { return append([]Priority(nil), p.priorities...) }

// Priority returns the priority of a name.
func (p *Preset) Priority(name string) (Priority, bool) {
	for _, q := range p.priorities {
		if q.name == name {
			return q, true
		}
	}
	return Priority{}, false
}

// DataCentre is a data centre that the preset uses.
type DataCentre struct {
	name string
	note string
}

// Name returns the data centre's name.
func (d DataCentre) Name() string { return d.name }

// Note returns what the operators wrote about it.
func (d DataCentre) Note() string { return d.note }

// Account is a caller with limits of its own.
type Account struct {
	name          string
	keyHashes     [][sha256.Size]byte
	ratePerSecond float64
	burst         int
	concurrency   int
	weight        float64
	worth         float64
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// RatePerSecond returns the requests a second that the account may send over
// all entries.
func (a Account) RatePerSecond() float64 { return a.ratePerSecond }

// Burst returns how many requests may come at once after a pause.
func (a Account) Burst() int { return a.burst }

// Concurrency returns how many requests of the account may be open at once
// over all entries.
func (a Account) Concurrency() int { return a.concurrency }

// Weight returns the account's part of the capacity relative to others.
func (a Account) Weight() float64 { return a.weight }

// Worth returns the worth of one request of ordinary priority.
func (a Account) Worth() float64 { return a.worth }

// Priority is a level of urgency that callers may ask for by name.
type Priority struct {
	name  string
	value int
	worth float64
}

// Name returns the name that callers send.
func (q Priority) Name() string { return q.name }

// Value returns the number that engines are given; larger runs sooner.
func (q Priority) Value() int { return q.value }

// Worth returns the factor on the account's worth.
func (q Priority) Worth() float64 { return q.worth }
