package platform_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is a time limit that only a failing test reaches.
const testTimeout = 20 * time.Second

// runInBackground runs f until the test ends and fails the test if f returns an error.
func runInBackground(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func startClient(t *testing.T, s *kv.Server, timeout time.Duration) *platform.Client {
	t.Helper()
	runInBackground(t, s.Run)
	c := &platform.Client{Addrs: []string{s.Addr()}, Timeout: timeout, Metrics: metrics.NewRegistry()}
	runInBackground(t, c.Run)
	return c
}

func put(key, value string) platform.Txn {
	return platform.Txn{Then: []platform.Op{platform.Put{Key: key, Value: []byte(value)}}}
}

func mustTxn(t *testing.T, c *platform.Client, txn platform.Txn) platform.TxnReply {
	t.Helper()
	r, err := c.Txn(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func wantValue(t *testing.T, c *platform.Client, key, want string) {
	t.Helper()
	r, err := c.Get(t.Context(), key)
	kv, ok := r.First()
	if err != nil || ok != (want != "") || string(kv.Value()) != want {
		t.Errorf("%s is %q, error %v, want %q", key, kv.Value(), err, want)
	}
}

func TestCompareAndSwap(t *testing.T) {
	c := startClient(t, &kv.Server{}, testTimeout)
	p := platform.Put{Key: "a", Value: []byte("1")}
	for _, want := range []bool{true, false} {
		if ok, err := c.PutIf(t.Context(), p, platform.Absent{Key: "a"}); err != nil || ok != want {
			t.Errorf("put if absent: %v, %v, want %v", ok, err, want)
		}
	}
	r := mustTxn(t, c, platform.Txn{Then: []platform.Op{
		platform.Txn{
			If:   []platform.Compare{platform.RevisionIs{Key: "a", Revision: 1}},
			Else: []platform.Op{platform.Get{Key: "a"}},
		},
		platform.Txn{
			If:   []platform.Compare{platform.Absent{Key: "b"}},
			Then: []platform.Op{platform.Put{Key: "b", Value: []byte("2")}},
		},
	}})
	first, second := r.Ops()[0].Txn(), r.Ops()[1].Txn()
	read, _ := first.Ops()[0].Range().First()
	if first.Succeeded() || !second.Succeeded() || string(read.Value()) != "1" || second.Revision() <= read.Revision() {
		t.Errorf("nested transactions returned %+v", r)
	}
	wantValue(t, c, "b", "2")
}

func TestListPages(t *testing.T) {
	c := startClient(t, &kv.Server{}, testTimeout)
	for i := range 5 {
		mustTxn(t, c, put(fmt.Sprint("p/", i), "v"))
	}
	mustTxn(t, c, put("q", "v"))
	after, n := "", 0
	for {
		r, err := c.List(t.Context(), "p/", after, 2)
		if err != nil {
			t.Fatal(err)
		}
		n += len(r.KVs())
		if !r.More() {
			break
		}
		after = r.KVs()[1].Key()
	}
	if n != 5 {
		t.Errorf("%d keys listed, want 5", n)
	}
}

// Guards against a request that runs twice: the reply to a write is lost, the
// caller receives "not run" and sends the request again. A lost reply must have an
// error of its own that no result code turns into "not run".
func TestLostAnswerIsUnknown(t *testing.T) {
	s := &kv.Server{}
	c := startClient(t, s, testTimeout)
	mustTxn(t, c, put("a", "1"))
	s.LoseAnswers(1)
	_, err := c.Txn(t.Context(), put("a", "2"))
	wantUnknown(t, err)
	wantValue(t, c, "a", "2")
}

func wantUnknown(t *testing.T, err error) {
	t.Helper()
	if !platform.IsUnknown(err) || result.CodeOf(err).Effect() != result.Unknown {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

// The caller cancels a write while the slow service is processing it. The write may
// still be applied after the caller got its error, so the outcome is unknown.
func TestLateWriteIsUnknown(t *testing.T) {
	s := &kv.Server{}
	c := startClient(t, s, testTimeout)
	mustTxn(t, c, put("a", "1"))
	before := s.Counts().Writes()
	s.SetSlow(2 * testTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	errs := make(chan error, 1)
	go func() {
		_, err := c.Txn(ctx, put("a", "2"))
		errs <- err
	}()
	for s.Counts().Writes() == before {
		time.Sleep(time.Millisecond)
	}
	cancel()
	wantUnknown(t, <-errs)
}

func TestRejectedWritesHaveNoEffect(t *testing.T) {
	s := &kv.Server{WritesPerSecond: 3, Now: func() time.Time { return time.Unix(1, 0) }}
	c := startClient(t, s, testTimeout)
	_, err := c.Txn(t.Context(), platform.Txn{Then: []platform.Op{platform.Put{Key: "a", Lease: 99}}})
	if !platform.IsLeaseMissing(err) {
		t.Errorf("error %v, want a missing lease", err)
	}
	twice := platform.Txn{Then: []platform.Op{platform.Put{Key: "a"}, platform.Put{Key: "a"}}}
	_, err = c.Txn(t.Context(), twice)
	wantRejected(t, err)
	mustTxn(t, c, put("b", "1"))
	_, err = c.Txn(t.Context(), put("a", "1"))
	wantRejected(t, err)
	wantValue(t, c, "a", "")
}

func wantRejected(t *testing.T, err error) {
	t.Helper()
	var rejected *platform.RejectedError
	if !errors.As(err, &rejected) || result.CodeOf(err) != result.PlatformDown {
		t.Errorf("error %v, want a RejectedError", err)
	}
}

// A call made while the service is down must be reported as not sent, and calls
// must succeed again once the service is back.
func TestUnavailableServiceIsNotSent(t *testing.T) {
	s := &kv.Server{}
	s.SetDown(true)
	c := startClient(t, s, 100*time.Millisecond)
	_, err := c.Txn(t.Context(), put("a", "1"))
	var notSent *platform.NotSentError
	if !errors.As(err, &notSent) || result.CodeOf(err) != result.PlatformDown {
		t.Errorf("error %v, want a NotSentError", err)
	}
	s.SetDown(false)
	for range 200 {
		if _, err = c.Get(t.Context(), "a"); err == nil {
			break
		}
	}
	if err != nil || !c.Reachable() {
		t.Errorf("not reachable after the outage: %v", err)
	}
}

// Guards against a process that makes no calls and reports the service as
// unreachable long after an outage has ended.
func TestReachableAgainWithoutCalls(t *testing.T) {
	s := &kv.Server{}
	c := startClient(t, s, time.Second)
	waitReachable := func(want bool) {
		t.Helper()
		for range 2000 {
			if c.Reachable() == want {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("Reachable did not become %v", want)
	}
	waitReachable(true)
	s.SetDown(true)
	waitReachable(false)
	s.SetDown(false)
	waitReachable(true)
}

// One member of the service accepts connections but never responds. Calls must
// move to the next member instead of timing out one after the other.
func TestUnresponsiveMemberIsAvoided(t *testing.T) {
	unresponsive, healthy := &kv.Server{}, &kv.Server{}
	runInBackground(t, unresponsive.Run)
	runInBackground(t, healthy.Run)
	unresponsive.SetSlow(2 * testTimeout)
	addrs := []string{unresponsive.Addr(), healthy.Addr()}
	c := &platform.Client{Addrs: addrs, Timeout: 200 * time.Millisecond, Metrics: metrics.NewRegistry()}
	runInBackground(t, c.Run)
	for range 100 {
		if _, err := c.Get(t.Context(), "a"); err == nil {
			return
		}
	}
	t.Error("no call succeeded")
}

func TestRunValidatesFields(t *testing.T) {
	for _, c := range []*platform.Client{{Timeout: 1}, {Addrs: []string{"127.0.0.1:1"}}} {
		if err := c.Run(t.Context()); err == nil {
			t.Error("Run accepted a client without its required fields")
		}
	}
}

// The service announces pages without end. Guards against a list that is read for ever.
func TestListWithoutEndIsCutOff(t *testing.T) {
	page, calls := platform.NewRangeReply(1, []platform.KeyValue{platform.NewKeyValue("p/1", make([]byte, 1<<20), 1, 0)}, true), 0
	_, _, err := platform.ListPages(func(string) (platform.RangeReply, error) {
		if calls++; calls > 100 {
			t.Fatal("the list goes on")
		}
		return page, nil
	})
	if err == nil {
		t.Error("a part of the list is taken for the whole")
	}
}
