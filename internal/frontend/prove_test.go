package frontend

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

// A configuration that takes a key away comes into force between the two reads of an answer. Guards against an answer
// that has the former version with the age of the new one: whoever adopts it accepts the key for longer.
func TestProofHasNoAgeOfALaterConfiguration(t *testing.T) {
	const ageBefore, ageAfter = 4 * time.Second, 10 * time.Millisecond
	var versions [2]*routing.Table
	for i := range versions {
		table, err := platform.DecodeConfig(config(1+i, `"k1"`))
		if err != nil {
			t.Fatal(err)
		}
		versions[i] = table
	}
	reads := 0
	// changed reports whether the new configuration is in force, which it is from the second read on.
	changed := func() bool {
		reads++
		return reads > 1
	}
	p, err := proof(
		func() time.Duration {
			if changed() {
				return ageAfter
			}
			return ageBefore
		},
		func() *routing.Table {
			if changed() {
				return versions[1]
			}
			return versions[0]
		})
	if err != nil {
		t.Fatal(err)
	}
	if age := time.Duration(p.GetAgeMicros()) * time.Microsecond; p.GetVersion() == 1 && age < ageBefore {
		t.Errorf("version 1 is proved with an age of %v", age)
	}
}
