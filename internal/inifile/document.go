package inifile

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Bounds of a document. They keep the work for one order of an operator
// small: reading takes time in proportion to lines, and reporting in
// proportion to faults.
const (
	// MaxBytes is the largest size of a document. It is the size of the
	// largest value that the platform's key-value service holds.
	MaxBytes = 1 << 20
	// MaxLines is the largest number of lines of a document.
	MaxLines = 100_000
	// MaxFaults is how many faults are reported; one more says that there
	// are further ones.
	MaxFaults = 200
	// maxShown is how many bytes of a value a fault repeats.
	maxShown = 80
)

// lineOptions read one line. A comment after a value needs a space before its
// sign; without that, a token such as "a#b" would lose its end unseen.
var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	ReaderBufferSize:         512,
}

// Document is a document that has been split into sections. Faults gather in
// it while its sections are read.
type Document struct {
	sections []*Section
	faults   []Fault
}

// Split reads r into sections. What could not be read is among the faults that
// Close returns.
func Split(r []byte) *Document {
	d := &Document{}
	if len(r) > MaxBytes {
		d.add(Fault{kind: Syntax, found: fmt.Sprintf("%d bytes", len(r)), allowed: fmt.Sprintf("at most %d bytes", MaxBytes)})
		return d
	}
	if n := bytes.Count(r, []byte{'\n'}); n >= MaxLines {
		d.add(Fault{kind: Syntax, found: fmt.Sprintf("%d lines", n+1), allowed: fmt.Sprintf("at most %d lines", MaxLines)})
		return d
	}
	var s *Section
	for i, line := range bytes.Split(r, []byte{'\n'}) {
		s = d.readLine(s, i+1, bytes.TrimSpace(line))
	}
	return d
}

// readLine reads one line that stands in s, which is nil before the first
// header, and returns the section of the next line.
func (d *Document) readLine(s *Section, n int, line []byte) *Section {
	if len(line) == 0 || line[0] == '#' || line[0] == ';' {
		return s
	}
	if !utf8.Valid(line) || bytes.IndexByte(line, 0) >= 0 {
		d.add(Fault{kind: Syntax, line: n, found: "bytes that are no text", allowed: "UTF-8"})
		return s
	}
	f, err := ini.LoadSources(lineOptions, line)
	if err != nil {
		d.add(Fault{kind: Syntax, line: n, found: shorten(string(line)), allowed: "[section] or key = value on one line"})
		return s
	}
	if line[0] == '[' {
		return d.open(n, f.SectionStrings()[len(f.SectionStrings())-1])
	}
	if s == nil {
		d.add(Fault{kind: Syntax, line: n, found: shorten(string(line)), allowed: "a [section] before the first key"})
		return s
	}
	for _, k := range f.Section(ini.DefaultSection).Keys() {
		s.put(n, k.Name(), k.Value())
	}
	return s
}

func (d *Document) open(line int, header string) *Section {
	words := append(strings.Fields(header), "")
	name := strings.TrimSpace(strings.Join(words[1:], " "))
	s := &Section{doc: d, kind: words[0], name: name, line: line, values: map[string]value{}}
	d.sections = append(d.sections, s)
	return s
}

// Section returns the only section of a kind that has no name. When the
// document has none, it returns an empty one, so that its defaults can be
// read; a second one is a fault.
func (d *Document) Section(kind string) *Section {
	var first *Section
	for _, s := range d.sections {
		if s.kind != kind {
			continue
		}
		s.known = true
		s.skipped = first != nil || s.name != ""
		if s.name != "" {
			s.fault(Syntax, "", s.Header(), "["+kind+"]")
			continue
		}
		if first != nil {
			s.fault(Duplicate, "", "a second ["+kind+"]", "one")
			continue
		}
		first = s
	}
	if first != nil {
		return first
	}
	first = &Section{doc: d, kind: kind, known: true, values: map[string]value{}}
	d.sections = append(d.sections, first)
	return first
}

// Sections returns the sections of a kind that need a name, in the document's
// order. Bad and repeated names are faults; their sections are in the list all
// the same, so that the faults inside them are found too.
func (d *Document) Sections(kind string) []*Section {
	var list []*Section
	seen := map[string]bool{}
	for _, s := range d.sections {
		if s.kind != kind {
			continue
		}
		s.known = true
		switch {
		case !ValidName(s.name):
			s.fault(Syntax, "", shorten(s.Header()), "["+kind+" NAME], with a NAME of "+NameRule)
		case seen[s.name]:
			s.fault(Duplicate, "", "a second ["+s.Header()+"]", "one")
		}
		seen[s.name] = true
		list = append(list, s)
	}
	return list
}

// Set puts a value over the one in the document. It is used for values from
// the command line.
func (d *Document) Set(kind, key, text string) {
	for _, s := range d.sections {
		if s.kind == kind && s.name == "" {
			s.values[key] = value{text: text}
			return
		}
	}
	s := d.open(0, kind)
	s.values[key] = value{text: text}
}

// Close reports the sections and keys that nothing has asked for as unknown
// and returns all faults. The kinds are named in the report.
func (d *Document) Close(kinds ...string) []Fault {
	for _, s := range d.sections {
		if !s.known {
			s.fault(UnknownKey, "", "the section "+shorten(s.Header()), strings.Join(kinds, ", "))
			continue
		}
		if !s.skipped {
			s.close()
		}
	}
	return d.sorted()
}

// sorted returns the faults in the order of lines; those that belong to no
// line are last.
func (d *Document) sorted() []Fault {
	list := slices.Clone(d.faults)
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i].line, list[j].line
		return a != 0 && (b == 0 || a < b)
	})
	return list
}

// Report adds a fault of the document as a whole.
func (d *Document) Report(f Fault) { d.add(f) }

func (d *Document) add(f Fault) {
	switch {
	case len(d.faults) < MaxFaults:
		d.faults = append(d.faults, f)
	case len(d.faults) == MaxFaults:
		d.faults = append(d.faults, Fault{kind: Syntax, found: "further faults", allowed: fmt.Sprintf("%d are reported at once", MaxFaults)})
	}
}

func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "..."
}
