package quarantine

import "strings"

// maxPartID is the greatest number of digits of the ID of a part.
const maxPartID = 32

// ValidID reports whether id may be the ID of a part: a hexadecimal number in lower case. IDs come
// from callers.
func ValidID(id string) bool {
	const digits = "0123456789abcdef"
	return id != "" && len(id) <= maxPartID && strings.Trim(id, digits) == ""
}
