package frontend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/standin/line"
)

// largeConfig returns a configuration with additional routes.
func largeConfig(version, routes int, keys string) []byte {
	var b strings.Builder
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"route-%x","hostname":"h%d","prefix":"/%x/","kind":"streaming","timeoutMs":8000,
		"targetLatencyMs":400,"gapTargetMs":120,"priority":1,"maxAttempts":2,"resumable":true,"service":"s"},`, i*7919, i%9, i*104729)
	}
	return []byte(strings.Replace(string(config(version, keys)), `"routes":[`, `"routes":[`+b.String(), 1))
}

// The configuration grows by 1,500 routes, an endpoint starts to drain and a key is
// revoked right after, while all connections between the entries share one slow line.
// Guards against entries that abandon the entry that polls the store, and learn of the
// draining endpoint seconds later, because all of them are sent the large value at
// once.
func TestLargeConfigurationDoesNotDelayUpdates(t *testing.T) {
	const routes = 1500
	s := newSystem(t, 2)
	s.dial = (&line.Narrow{BytesPerSecond: 500e3}).Dial
	entries := s.startEntries(5)
	s.store.Put("op/config", largeConfig(2, routes, `"k1","k2"`))
	s.put(s.endpoints[0], "a", "draining")
	for _, e := range entries {
		s.eventually("the draining endpoint is known", func() bool {
			return e.log.Has(`"draining":true,"endpoint":"i-0"`)
		})
	}
	s.store.Put("op/config", largeConfig(3, routes+1, `"k1"`))
	for _, e := range entries {
		s.eventually("the newest configuration is in force", func() bool { return e.hasVersion(3) })
	}
	for _, e := range entries {
		if e.log.Has("entry did not return store updates") {
			t.Errorf("%s abandoned the entry that polls the store", e.Settings.Name)
		}
	}
}

// Twenty-five versions of a configuration of 700 kB are written at once, and an endpoint leaves. Guards
// against a poll of the store whose answer is too long and which is repeated as it was: no entry would
// learn of anything, and all would refuse keys, until the store drops its history.
func TestStormOfLargeConfigurationsDoesNotStopUpdates(t *testing.T) {
	const routes, versions, last = 3500, 25, 60
	s := newSystem(t, 2)
	entries := s.startEntries(3)
	for v := range versions {
		s.store.Put("op/config", largeConfig(2+v, routes+v, `"k1"`))
	}
	s.put(s.endpoints[0], "a", "draining")
	for _, e := range entries {
		s.eventually("the newest configuration is in force", func() bool { return e.hasVersion(1 + versions) })
		s.eventually("the draining endpoint is known", func() bool { return e.log.Has(`"draining":true,"endpoint":"i-0"`) })
	}
	s.store.Put("op/config", largeConfig(last, routes, `"k2"`))
	for i, e := range entries {
		s.eventually("a key of the newest configuration is accepted", func() bool {
			return e.hasVersion(last) && e.request(t.Context(), "/look/1", fmt.Sprint("storm", i), "k2").status == http.StatusOK
		})
	}
}
