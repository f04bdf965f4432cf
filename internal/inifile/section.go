package inifile

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// NameRule describes the names that ValidName allows.
const NameRule = "1 to 63 letters, digits, '.', '_' or '-', not beginning with a sign"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether s may name a section, a data centre, an endpoint
// or a process.
func ValidName(s string) bool { return namePattern.MatchString(s) }

type value struct {
	text string
	line int
}

// Section is one section of a document. Its methods return the value of a
// key, or the given default when the key is absent or its value is a fault,
// which goes into the document's list.
type Section struct {
	doc  *Document
	kind string
	name string
	line int
	// known says that the kind was asked for, skipped that nothing reads the
	// section because it is one too many.
	known   bool
	skipped bool
	asked   []string
	values  map[string]value
}

// Name returns the name in the section's header.
func (s *Section) Name() string { return s.name }

// Header returns the section's header without brackets.
func (s *Section) Header() string {
	if s.name == "" {
		return s.kind
	}
	return s.kind + " " + s.name
}

// Has reports whether the key is there with a value that is not empty.
func (s *Section) Has(key string) bool { return s.values[key].text != "" }

// Empty reports whether the section has no key.
func (s *Section) Empty() bool { return len(s.values) == 0 }

// Require reports an absent or empty key as a fault.
func (s *Section) Require(keys ...string) {
	for _, k := range keys {
		if !s.Has(k) {
			s.fault(Missing, k, "nothing", "a value")
		}
	}
}

// Reject reports the key's value as a fault.
func (s *Section) Reject(k Kind, key, allowed string) {
	s.fault(k, key, strconv.Quote(shorten(s.values[key].text)), allowed)
}

// RejectSecret is Reject for a value that may be a secret, which the fault
// does not repeat.
func (s *Section) RejectSecret(key, allowed string) {
	s.fault(BadValue, key, fmt.Sprintf("a value of %d bytes", len(s.values[key].text)), allowed)
}

// RejectHeader reports the section's header as a fault.
func (s *Section) RejectHeader(k Kind, allowed string) {
	s.fault(k, "", "["+shorten(s.Header())+"]", allowed)
}

// Text returns the value as it stands.
func (s *Section) Text(key, def string) string {
	t, ok := s.get(key)
	if !ok {
		return def
	}
	return t
}

// Choice returns the value, which must be one of those allowed.
func (s *Section) Choice(key, def string, allowed ...string) string {
	t, ok := s.get(key)
	if !ok {
		return def
	}
	if !slices.Contains(allowed, t) {
		s.Reject(BadValue, key, strings.Join(allowed, ", "))
		return def
	}
	return t
}

// Bool returns the value, which must be true or false.
func (s *Section) Bool(key string, def bool) bool {
	return s.Choice(key, strconv.FormatBool(def), "true", "false") == "true"
}

// Int returns the value, which must lie between low and high.
func (s *Section) Int(key string, def, low, high int) int {
	t, ok := s.get(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(t)
	if err != nil || n < low || n > high {
		s.Reject(BadValue, key, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return n
}

// Float returns the value, which must be above 0 and at most high.
func (s *Section) Float(key string, def, high float64) float64 {
	t, ok := s.get(key)
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(t, 64)
	if err != nil || math.IsNaN(x) || x <= 0 || x > high {
		s.Reject(BadValue, key, fmt.Sprintf("a number above 0, at most %g", high))
		return def
	}
	return x
}

// Duration returns the value, which must lie between low and high.
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	t, ok := s.get(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(t)
	if err != nil || d < low || d > high {
		s.Reject(BadValue, key, fmt.Sprintf("a duration from %s to %s", low, high))
		return def
	}
	return d
}

// Names returns the value as a list of names.
func (s *Section) Names(key string) []string {
	list := s.List(key)
	for _, n := range list {
		if !ValidName(n) {
			s.Reject(BadValue, key, "names of "+NameRule)
			return nil
		}
	}
	return list
}

// List returns the value's parts, which are separated by commas, without the
// white space around them. Empty parts are a fault.
func (s *Section) List(key string) []string {
	t, ok := s.get(key)
	if !ok {
		return nil
	}
	parts := strings.Split(t, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
		if parts[i] == "" {
			s.Reject(BadValue, key, "a list separated by commas without empty parts")
			return nil
		}
	}
	return parts
}

// Address returns the value, which must be IP:port. Port 0, which asks the
// operating system for a free one, is allowed only where listen is true.
func (s *Section) Address(key string, listen bool) netip.AddrPort {
	t, ok := s.get(key)
	if !ok {
		return netip.AddrPort{}
	}
	return s.address(key, t, listen)
}

// Addresses returns the value as a list of IP:port.
func (s *Section) Addresses(key string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, t := range s.List(key) {
		a := s.address(key, t, false)
		if !a.IsValid() {
			return nil
		}
		list = append(list, a)
	}
	return list
}

func (s *Section) address(key, text string, listen bool) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || (a.Port() == 0 && !listen) {
		s.Reject(BadAddress, key, "IP:port, such as 10.0.1.5:8080 or [fd00::5]:8080")
		return netip.AddrPort{}
	}
	return a
}

// get notes that the key is known and returns its value if it has one.
func (s *Section) get(key string) (string, bool) {
	s.asked = append(s.asked, key)
	t := s.values[key].text
	return t, t != ""
}

func (s *Section) put(line int, key, text string) {
	if first, ok := s.values[key]; ok {
		s.values[key] = value{text: first.text, line: line}
		s.fault(Duplicate, key, fmt.Sprintf("a second value (the first is in line %d)", first.line), "one value")
		s.values[key] = first
		return
	}
	s.values[key] = value{text: text, line: line}
}

// close reports the keys that were not asked for.
func (s *Section) close() {
	var unknown []string
	for k := range s.values {
		if !slices.Contains(s.asked, k) {
			unknown = append(unknown, k)
		}
	}
	sort.Slice(unknown, func(i, j int) bool { return s.values[unknown[i]].line < s.values[unknown[j]].line })
	for _, k := range unknown {
		s.fault(UnknownKey, k, "a key that is not known", strings.Join(s.asked, ", "))
	}
}

func (s *Section) fault(k Kind, key, found, allowed string) {
	line := s.line
	if v, ok := s.values[key]; ok {
		line = v.line
	}
	s.doc.add(Fault{kind: k, section: shorten(s.Header()), key: shorten(key), line: line, found: found, allowed: allowed})
}
