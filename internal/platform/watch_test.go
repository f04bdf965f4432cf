package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
)

func TestLeases(t *testing.T) {
	s := &kv.Server{}
	c := startClient(t, s, testTimeout)
	id, err := c.Grant(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	mustTxn(t, c, platform.Txn{Then: []platform.Op{platform.Put{Key: "a", Value: []byte("1"), Lease: id}}})
	s.LapseLeases(30 * time.Second)
	if ttl, err := c.KeepAlive(t.Context(), id); err != nil || ttl != time.Minute {
		t.Errorf("time to live %v, error %v, want 1m", ttl, err)
	}
	s.LapseLeases(59 * time.Second)
	wantValue(t, c, "a", "1")
	s.LapseLeases(2 * time.Second)
	wantValue(t, c, "a", "")
	if ttl, err := c.KeepAlive(t.Context(), id); err != nil || ttl != 0 {
		t.Errorf("expired lease: time to live %v, error %v", ttl, err)
	}
	if err := c.Revoke(t.Context(), id); !platform.IsLeaseMissing(err) {
		t.Errorf("error %v, want a missing lease", err)
	}
}

func nextEvent(t *testing.T, events chan platform.WatchEvent) platform.WatchEvent {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(testTimeout):
		t.Fatal("no event from the watch")
		return nil
	}
}

func wantGap(t *testing.T, events chan platform.WatchEvent, want platform.GapReason) {
	t.Helper()
	if g, ok := nextEvent(t, events).(platform.Gap); !ok || g.Reason != want {
		t.Errorf("event %+v, want a gap for reason %v", g, want)
	}
}

func wantChange(t *testing.T, events chan platform.WatchEvent, key string) {
	t.Helper()
	e, ok := nextEvent(t, events).(platform.Changed)
	if !ok || len(e.KVs) != 1 || e.KVs[0].Key() != key {
		t.Errorf("event %+v, want a change of %s", e, key)
	}
}

// Guards against an accepted configuration that never takes effect in this process
// because its watch missed the change: the stream broke, or the service had
// compacted the changes. The watch must report a gap once it is open again.
func TestWatchReportsGaps(t *testing.T) {
	s := &kv.Server{}
	c := startClient(t, s, testTimeout)
	events := make(chan platform.WatchEvent)
	runInBackground(t, func(ctx context.Context) error { return c.Watch(ctx, "a/", 0, events) })
	wantGap(t, events, platform.GapOpened)
	mustTxn(t, c, put("b", "1"))
	mustTxn(t, c, put("a/1", "1"))
	wantChange(t, events, "a/1")

	s.Restore(s.Copy())
	wantGap(t, events, platform.GapReconnected)
	mustTxn(t, c, put("a/2", "1"))
	wantChange(t, events, "a/2")

	s.HoldWatches(true)
	mustTxn(t, c, put("a/3", "1"))
	s.Compact()
	s.HoldWatches(false)
	wantGap(t, events, platform.GapCanceled)
	mustTxn(t, c, put("a/4", "1"))
	wantChange(t, events, "a/4")

	s.SetDown(true)
	s.SetDown(false)
	wantGap(t, events, platform.GapReconnected)
}

func TestWatchFromRevision(t *testing.T) {
	c := startClient(t, &kv.Server{}, testTimeout)
	r := mustTxn(t, c, put("a/1", "1"))
	mustTxn(t, c, put("a/2", "1"))
	events := make(chan platform.WatchEvent)
	runInBackground(t, func(ctx context.Context) error { return c.Watch(ctx, "a/", r.Revision(), events) })
	wantChange(t, events, "a/1")
	wantChange(t, events, "a/2")
}
