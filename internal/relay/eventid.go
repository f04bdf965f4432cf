package relay

import (
	"strconv"
	"strings"
)

// formatEventID returns the number of an event as endpoints read it.
func formatEventID(id int64) string { return strconv.FormatInt(id, 10) }

// parseEventID returns the number of the last event that a caller has received, or zero if it names none
// that can be read.
func parseEventID(text string) int64 {
	id, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0 // ParseInt returns the nearest number in its range
	}
	return max(0, id)
}
