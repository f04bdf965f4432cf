package preset

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"
	"strings"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
)

// MaxBytes is the size of the largest preset that Parse reads.
const MaxBytes = inifile.MaxBytes

// Fault is one thing that is wrong in a preset.
type Fault = inifile.Fault

// Bounds of values. They only catch slips of the pen, such as a rate in
// requests a day or a deadline with the wrong unit.
const (
	maxQueueLength  = 1_000_000
	maxConcurrency  = 100_000
	maxRate         = 1e6
	maxFactor       = 1e6
	maxTokens       = 10_000_000
	minDeadline     = time.Millisecond
	maxDeadline     = 24 * time.Hour
	maxPriority     = 1000
	maxKeysEach     = 8
	defaultQueue    = 2000
	defaultRetries  = 10
	defaultDeadline = 30 * time.Second
)

// sectionKinds names the sections for the report of an unknown one.
var sectionKinds = []string{
	"[preset]", "[dataCentre NAME]", "[account NAME]", "[model NAME]", "[service NAME]", "[priority NAME]",
}

// Parse reads a preset. It returns either a preset and no faults, or nil and
// every fault of the document.
func Parse(r []byte) (*Preset, []Fault) {
	doc := inifile.Split(r)
	p := &Preset{
		byAccount: map[string]int{},
		byKey:     map[[sha256.Size]byte]int{},
		routes:    map[string]Route{},
	}
	p.readHead(doc.Section("preset"))
	p.readDataCentres(doc)
	p.readAccounts(doc)
	p.readModels(doc)
	p.readServices(doc)
	p.readPriorities(doc)
	if faults := doc.Close(sectionKinds...); len(faults) > 0 {
		return nil, faults
	}
	return p, nil
}

func (p *Preset) readHead(s *inifile.Section) {
	s.Require("name")
	p.name = s.Text("name", "")
	if p.name != "" && !inifile.ValidName(p.name) {
		s.Reject(inifile.BadValue, "name", inifile.NameRule)
	}
	p.note = s.Text("note", "")
	p.queueLength = s.Int("queueLength", defaultQueue, 1, maxQueueLength)
	p.retryPercent = s.Int("retryBudgetPercent", defaultRetries, 0, 100)
}

func (p *Preset) readDataCentres(doc *inifile.Document) {
	for _, s := range doc.Sections("dataCentre") {
		p.dataCentres = append(p.dataCentres, DataCentre{name: s.Name(), note: s.Text("note", "")})
	}
	if len(p.dataCentres) == 0 {
		doc.Report(inifile.NewFault(inifile.Missing, "dataCentre NAME", "", "no data centre", "one or more"))
	}
}

func (p *Preset) readAccounts(doc *inifile.Document) {
	for _, s := range doc.Sections("account") {
		s.Require("keyHash", "ratePerSecond", "concurrency")
		a := Account{
			name:          s.Name(),
			keyHashes:     readHashes(s),
			ratePerSecond: s.Float("ratePerSecond", 1, maxRate),
			burst:         s.Int("burst", 1, 1, maxConcurrency),
			concurrency:   s.Int("concurrency", 1, 1, maxConcurrency),
			weight:        s.Float("weight", 1, maxFactor),
			worth:         s.Float("worth", 1, maxFactor),
		}
		p.addAccount(s, a)
	}
	if len(p.accounts) == 0 {
		doc.Report(inifile.NewFault(inifile.Missing, "account NAME", "", "no account", "one or more"))
	}
}

func (p *Preset) addAccount(s *inifile.Section, a Account) {
	p.byAccount[a.name] = len(p.accounts)
	for _, h := range a.keyHashes {
		if i, ok := p.byKey[h]; ok {
			s.Reject(inifile.Duplicate, "keyHash", fmt.Sprintf("a key that account %s does not have", p.accounts[i].name))
			continue
		}
		p.byKey[h] = len(p.accounts)
	}
	p.accounts = append(p.accounts, a)
}

// readHashes reads the SHA-256 of the account's keys. There may be several,
// so that a key can be changed while callers still send the old one.
func readHashes(s *inifile.Section) [][sha256.Size]byte {
	var hashes [][sha256.Size]byte
	for _, t := range s.List("keyHash") {
		b, err := hex.DecodeString(t)
		if err != nil || len(b) != sha256.Size {
			// The text is not repeated: somebody may have put the key itself.
			s.RejectSecret("keyHash", "the SHA-256 of the key as 64 hexadecimal digits")
			return nil
		}
		hashes = append(hashes, [sha256.Size]byte(b))
	}
	if len(hashes) > maxKeysEach {
		s.RejectSecret("keyHash", fmt.Sprintf("at most %d keys", maxKeysEach))
		return nil
	}
	return hashes
}

func (p *Preset) readModels(doc *inifile.Document) {
	for _, s := range doc.Sections("model") {
		s.Require("endpoints", "concurrency", "coldStartConcurrency")
		m := Model{
			common:          readCommon(s),
			maxOutputTokens: s.Int("maxOutputTokens", 4096, 1, maxTokens),
		}
		if !s.Bool("repeatable", true) {
			s.Reject(inifile.BadValue, "repeatable", "true: requests to a model may always be repeated")
		}
		p.models = append(p.models, m)
		p.addRoute(s, m)
	}
}

func (p *Preset) readServices(doc *inifile.Document) {
	for _, s := range doc.Sections("service") {
		s.Require("endpoints", "concurrency", "repeatable")
		v := Service{
			common:     readCommon(s),
			repeatable: s.Bool("repeatable", false),
			path:       s.Text("path", "/"),
		}
		if !strings.HasPrefix(v.path, "/") || strings.ContainsAny(v.path, " \t?#") {
			s.Reject(inifile.BadValue, "path", "a path that begins with / and has no query")
		}
		p.services = append(p.services, v)
		p.addRoute(s, v)
	}
	if len(p.routes) == 0 {
		doc.Report(inifile.NewFault(inifile.Missing, "model NAME", "", "no model and no service", "one or more"))
	}
}

func (p *Preset) addRoute(s *inifile.Section, r Route) {
	if _, ok := p.routes[r.Name()]; ok {
		s.RejectHeader(inifile.Duplicate, "a name that no model or service of the preset has")
		return
	}
	p.routes[r.Name()] = r
}

func readCommon(s *inifile.Section) common {
	return common{
		name:     s.Name(),
		patterns: readPatterns(s),
		capacity: readCapacity(s),
		deadline: s.Duration("defaultDeadline", defaultDeadline, minDeadline, maxDeadline),
	}
}

func readCapacity(s *inifile.Section) Capacity {
	c := Capacity{
		concurrency:     s.Int("concurrency", maxConcurrency, 1, maxConcurrency),
		coldStart:       s.Int("coldStartConcurrency", 1, 1, maxConcurrency),
		rampStep:        s.Int("rampStep", 1, 1, maxConcurrency),
		rampCompletions: s.Int("rampCompletions", 1, 1, maxConcurrency),
	}
	if c.coldStart > c.concurrency {
		s.Reject(inifile.BadValue, "coldStartConcurrency", fmt.Sprintf("at most the concurrency, %d", c.concurrency))
	}
	return c
}

func readPatterns(s *inifile.Section) []string {
	patterns := s.List("endpoints")
	for _, p := range patterns {
		if _, err := path.Match(p, ""); err != nil {
			s.Reject(inifile.BadValue, "endpoints", "patterns of endpoint names with *, ? and [a-z]")
			return nil
		}
	}
	return patterns
}

func (p *Preset) readPriorities(doc *inifile.Document) {
	for _, s := range doc.Sections("priority") {
		s.Require("value")
		p.priorities = append(p.priorities, Priority{
			name:  s.Name(),
			value: s.Int("value", 0, -maxPriority, maxPriority),
			worth: s.Float("worth", 1, maxFactor),
		})
	}
}
