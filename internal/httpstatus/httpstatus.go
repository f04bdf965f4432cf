// Package httpstatus tells status codes that a response may have from others.
//
// net/http takes any three characters that make a number for a status, also 000 and +20.
package httpstatus

// Codes outside of this range are invalid (RFC 9110, section 15).
const (
	first = 100
	last  = 599
)

// IsValid reports whether a response may have the status code. What a response with another code says is not to be
// relied on: whether its request was carried out is unknown.
func IsValid(code int) bool { return first <= code && code <= last }
