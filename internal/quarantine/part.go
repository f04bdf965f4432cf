package quarantine

import "strings"

// maxID is the greatest number of digits of an ID.
const maxID = 32

// ValidID reports whether id may be the ID of a part, which callers choose, or a fingerprint: a
// hexadecimal number in lower case.
func ValidID(id string) bool {
	const digits = "0123456789abcdef"
	return id != "" && len(id) <= maxID && strings.Trim(id, digits) == ""
}
