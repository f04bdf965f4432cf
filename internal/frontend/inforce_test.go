package frontend

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/document"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

// A configuration arrives from the store and from another entry at once. Guards against a copy that covers the change
// and counts as holding the configuration before it: whoever follows this entry would lack the change unnoticed.
func TestConfigurationFromTwoSourcesIsHeldOnceCovered(t *testing.T) {
	const versions = 6000
	// maxDelay is the longest time, in microseconds, by which the store's answer is later.
	const maxDelay = 150
	f := newIdleFrontend(t)
	f.apply(mirror.Update{Complete: true})
	var sender document.Versions
	for i := range versions {
		revision := int64(1 + i)
		value := config(1+i, `"k1"`)
		sender.Put(document.Version{Revision: revision, Value: value})
		encoded, err := sender.Encode(0)
		if err != nil {
			t.Fatal(err)
		}
		applied := make(chan error, 1)
		go func() {
			applied <- f.applyDocument(&fleetpb.DocumentReply{Revision: revision, Packed: encoded.Bytes}, "other", boottime.Now())
		}()
		for begin := time.Now(); time.Since(begin) < time.Duration(i%maxDelay)*time.Microsecond; {
			// Waits for less than a timer can.
		}
		f.apply(mirror.Update{
			KVs: []kv.KeyValue{kv.NewKeyValue(platform.DocumentKey, value, revision, 0)}, Revision: revision,
			Coverage: mirror.Coverage{CoveredRevision: revision, RequestedAt: boottime.Now()},
		})
		page, _ := f.storeCopy.Since(mirror.Request{After: revision, Known: true})
		if page.CoveredRevision == revision && page.SeparateRevision < revision {
			t.Fatalf("revision %d is covered, and the configuration of revision %d is held", revision, page.SeparateRevision)
		}
		if err := <-applied; err != nil {
			t.Fatal(err)
		}
	}
}
