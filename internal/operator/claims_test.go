package operator

import (
	"errors"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// An operator lists claims while the platform is down, and was told about "a
// request that may run only once", which made them look for one they had sent.
func TestFailedReadingsGetAnOperatorsNumber(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want result.Code
	}{
		{"the platform is down", eris.Wrap(result.New(result.PlatformDown, "timeout"), "list"), result.PlatformRefused},
		{"an error without a number", errors.New("odd"), result.PlatformRefused},
		{"an operator's own number", result.New(result.UnknownClaim, ""), result.UnknownClaim},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := result.CodeOf(numbered(c.err)); got != c.want {
				t.Errorf("code %d, want %d", got, c.want)
			}
		})
	}
}
