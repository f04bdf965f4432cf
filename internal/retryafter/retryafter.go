// Package retryafter reads the time that an HTTP answer names in its header Retry-After.
package retryafter

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the header.
const Header = "Retry-After"

// Max is the longest time that Parse returns. Without it, a large number would overflow a
// time.Duration and become negative.
const Max = 24 * time.Hour

// Parse reads a number of seconds, which may have a fraction. Text that can't be read, and dates,
// name no time.
func Parse(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 1) {
		return 0
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second))
}
