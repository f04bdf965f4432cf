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

// long is a time limit that no test reaches unless it fails.
const long = 20 * time.Second

// run runs f in the background until the test ends.
func run(t *testing.T, f func(context.Context) error) {
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

func start(t *testing.T, s *kv.Server, timeout time.Duration) *platform.Client {
	t.Helper()
	run(t, s.Run)
	c := &platform.Client{Addrs: []string{s.Addr()}, Timeout: timeout, Metrics: metrics.NewRegistry()}
	run(t, c.Run)
	return c
}

func put(key, value string) platform.Txn {
	return platform.Txn{Then: []platform.Op{platform.Put{Key: key, Value: []byte(value)}}}
}

func mustTxn(t *testing.T, c *platform.Client, x platform.Txn) platform.TxnReply {
	t.Helper()
	r, err := c.Txn(t.Context(), x)
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
	c := start(t, &kv.Server{}, long)
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
	kv, _ := first.Ops()[0].Range().First()
	if first.Succeeded() || !second.Succeeded() || string(kv.Value()) != "1" || second.Revision() <= kv.Revision() {
		t.Errorf("nested transactions answered %+v", r)
	}
	wantValue(t, c, "b", "2")
}

func TestListPages(t *testing.T) {
	c := start(t, &kv.Server{}, long)
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

// A write's answer is lost and the caller is told "not run": it sends its order
// again and the order runs twice. So a lost answer must be an error of its own
// that no result code turns into "not run".
func TestLostAnswerIsUnknown(t *testing.T) {
	s := &kv.Server{}
	c := start(t, s, long)
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

// The service is slow and the call ends while the write is on its way; it may
// take effect after the caller has been answered.
func TestLateWriteIsUnknown(t *testing.T) {
	s := &kv.Server{}
	c := start(t, s, long)
	mustTxn(t, c, put("a", "1"))
	before := s.Counts().Writes()
	s.SetSlow(2 * long)
	ctx, cancel := context.WithCancel(t.Context())
	answer := make(chan error, 1)
	go func() {
		_, err := c.Txn(ctx, put("a", "2"))
		answer <- err
	}()
	for s.Counts().Writes() == before {
		time.Sleep(time.Millisecond)
	}
	cancel()
	wantUnknown(t, <-answer)
}

func TestRefusalsAreNotMade(t *testing.T) {
	s := &kv.Server{WritesPerSecond: 3, Now: func() time.Time { return time.Unix(1, 0) }}
	c := start(t, s, long)
	_, err := c.Txn(t.Context(), platform.Txn{Then: []platform.Op{platform.Put{Key: "a", Lease: 99}}})
	if !platform.IsLeaseMissing(err) {
		t.Errorf("error %v, want a missing lease", err)
	}
	twice := platform.Txn{Then: []platform.Op{platform.Put{Key: "a"}, platform.Put{Key: "a"}}}
	_, err = c.Txn(t.Context(), twice)
	wantRefused(t, err)
	mustTxn(t, c, put("b", "1"))
	_, err = c.Txn(t.Context(), put("a", "1"))
	wantRefused(t, err)
	wantValue(t, c, "a", "")
}

func wantRefused(t *testing.T, err error) {
	t.Helper()
	var refused *platform.RefusedError
	if !errors.As(err, &refused) || result.CodeOf(err) != result.PlatformDown {
		t.Errorf("error %v, want a refusal", err)
	}
}

// The service is down before a call is made. The call must be known as not
// sent, and calls must work again when the service is back.
func TestDownIsNotSent(t *testing.T) {
	s := &kv.Server{}
	s.SetDown(true)
	c := start(t, s, 100*time.Millisecond)
	_, err := c.Txn(t.Context(), put("a", "1"))
	var notSent *platform.NotSentError
	if !errors.As(err, &notSent) || result.CodeOf(err) != result.PlatformDown {
		t.Errorf("error %v, want not sent", err)
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

// The service was down while a process had no calls to make. Operators must see
// that it reaches the service again, though it still has none.
func TestReachableAgainWithoutCalls(t *testing.T) {
	s := &kv.Server{}
	c := start(t, s, time.Second)
	wait := func(want bool) {
		t.Helper()
		for range 2000 {
			if c.Reachable() == want {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("reachable is not %v", want)
	}
	wait(true)
	s.SetDown(true)
	wait(false)
	s.SetDown(false)
	wait(true)
}

// One member of the service accepts connections and answers nothing. Calls must
// move to the next one instead of timing out one after the other.
func TestSilentMemberIsAvoided(t *testing.T) {
	silent, well := &kv.Server{}, &kv.Server{}
	run(t, silent.Run)
	run(t, well.Run)
	silent.SetSlow(2 * long)
	addrs := []string{silent.Addr(), well.Addr()}
	c := &platform.Client{Addrs: addrs, Timeout: 200 * time.Millisecond, Metrics: metrics.NewRegistry()}
	run(t, c.Run)
	for range 100 {
		if _, err := c.Get(t.Context(), "a"); err == nil {
			return
		}
	}
	t.Error("no call was answered")
}

func TestFieldsAreChecked(t *testing.T) {
	for _, c := range []*platform.Client{{Timeout: 1}, {Addrs: []string{"127.0.0.1:1"}}} {
		if err := c.Run(t.Context()); err == nil {
			t.Error("a client without its fields runs")
		}
	}
}
