package inifile

import (
	"fmt"
	"strings"
)

// Kind says what is wrong.
type Kind int

// The kinds of faults.
const (
	// Syntax marks a line or document that can't be read.
	Syntax Kind = iota
	// UnknownKey marks a key or section that the document may not have.
	UnknownKey
	// Duplicate marks a key or section that stands there twice.
	Duplicate
	// Missing marks a key or section that is needed.
	Missing
	// BadValue marks a value that is not allowed.
	BadValue
	// BadAddress marks a value that is not IP:port.
	BadAddress
)

// Fault is one thing that is wrong in a document.
type Fault struct {
	kind    Kind
	section string
	key     string
	line    int
	found   string
	allowed string
}

// NewFault returns a fault that belongs to a section and key, both of which
// may be empty, and to no line.
func NewFault(k Kind, section, key, found, allowed string) Fault {
	return Fault{kind: k, section: section, key: key, found: found, allowed: allowed}
}

// Kind returns what is wrong.
func (f Fault) Kind() Kind { return f.kind }

// Section returns the section's header without brackets, or "".
func (f Fault) Section() string { return f.section }

// Key returns the key, or "" when the fault is about a whole section or line.
func (f Fault) Key() string { return f.key }

// Line returns the line's number, counted from 1, or 0 when the fault belongs
// to no line.
func (f Fault) Line() int { return f.line }

// Found returns what stands there.
func (f Fault) Found() string { return f.found }

// Allowed returns what may stand there.
func (f Fault) Allowed() string { return f.allowed }

// String returns the fault as one line of text.
func (f Fault) String() string {
	var b strings.Builder
	if f.line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.line)
	}
	if f.section != "" {
		fmt.Fprintf(&b, "[%s] ", f.section)
	}
	if f.key != "" {
		fmt.Fprintf(&b, "%s: ", f.key)
	}
	fmt.Fprintf(&b, "%s; allowed: %s", f.found, f.allowed)
	return b.String()
}
