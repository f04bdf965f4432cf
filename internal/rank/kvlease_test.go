package rank_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
)

func newLeases(t *testing.T, s *kv.Server) (a, b *rank.KVLease) {
	t.Helper()
	runBackground(t, s.Run)
	c := &platform.Client{Addrs: []string{s.Addr()}, Timeout: time.Second, Metrics: metrics.NewRegistry()}
	runBackground(t, c.Run)
	a = &rank.KVLease{KV: c, Group: "chat", Holder: "a", TTL: time.Minute}
	b = &rank.KVLease{KV: c, Group: "chat", Holder: "b", TTL: time.Minute}
	return a, b
}

func assertErrorIs(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("error %v, want %v", got, want)
	}
}

// TestExpiredHolderCannotWrite guards against two leaders at once: the lease of
// a paused agent expires, and the agent still writes the record. The second
// agent takes the lease with a greater token; the first can then neither renew
// nor write, with the current revision or an old one.
func TestExpiredHolderCannotWrite(t *testing.T) {
	s := &kv.Server{}
	a, b := newLeases(t, s)
	ctx := t.Context()
	first, _, err := a.Acquire(ctx, time.Now())
	assertErrorIs(t, err, nil)
	_, _, err = b.Acquire(ctx, time.Now())
	assertErrorIs(t, err, rank.ErrLeaseHeld)
	assertErrorIs(t, a.CAS(ctx, 0, naming.Record{Token: first}), nil)

	s.LapseLeases(time.Hour)
	second := awaitAcquire(ctx, t, b)
	if second <= first {
		t.Errorf("token %d after %d", second, first)
	}
	_, err = a.Renew(ctx, time.Now())
	assertErrorIs(t, err, rank.ErrLeaseLost)
	record, revision, err := b.Read(ctx)
	assertErrorIs(t, err, nil)
	assertErrorIs(t, a.CAS(ctx, revision, naming.Record{Token: first}), rank.ErrRecordChanged)
	assertErrorIs(t, b.CAS(ctx, 0, naming.Record{Token: second}), rank.ErrRecordChanged)
	assertErrorIs(t, b.CAS(ctx, revision, naming.Record{Token: second}), nil)
	if record.Token != first {
		t.Errorf("record of token %d, want %d", record.Token, first)
	}
}

// TestEndedLeaseIsFree guards against a holder whose lease another agent has ended and that goes on for as long
// as the lease would have lasted.
func TestEndedLeaseIsFree(t *testing.T) {
	a, b := newLeases(t, &kv.Server{})
	ctx := t.Context()
	first, _, err := a.Acquire(ctx, time.Now())
	assertErrorIs(t, err, nil)
	held, ok, err := b.CurrentHolder(ctx)
	if err != nil || !ok {
		t.Fatal(ok, err)
	}
	assertErrorIs(t, b.End(ctx, held), nil)
	second, _, err := b.Acquire(ctx, time.Now())
	assertErrorIs(t, err, nil)
	if second <= first {
		t.Errorf("token %d after %d", second, first)
	}
	_, err = a.Renew(ctx, time.Now())
	assertErrorIs(t, err, rank.ErrLeaseLost)
}

func awaitAcquire(ctx context.Context, t *testing.T, l *rank.KVLease) uint64 {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if token, _, err := l.Acquire(ctx, time.Now()); err == nil {
			return token
		}
	}
	t.Fatal("the lease could not be acquired")
	return 0
}

// lostReplyKV loses the reply of each transaction after it has taken effect.
type lostReplyKV struct{ rank.KV }

func (k lostReplyKV) Txn(ctx context.Context, x platform.Txn) (platform.TxnReply, error) {
	if _, err := k.KV.Txn(ctx, x); err != nil {
		return platform.TxnReply{}, err
	}
	return platform.TxnReply{}, platform.ClassifyWriteError(context.DeadlineExceeded)
}

// TestLostReplyOfAcquire guards against a group without a leader for a whole
// TTL because the holder does not know that it holds the lease. The reply to
// the write that takes the lease is lost; the holder finds out by reading the
// key, as does another agent that finds the lease held.
func TestLostReplyOfAcquire(t *testing.T) {
	a, b := newLeases(t, &kv.Server{})
	plain := a.KV
	a.KV, b.KV = lostReplyKV{plain}, lostReplyKV{plain}
	token, _, err := a.Acquire(t.Context(), time.Now())
	assertErrorIs(t, err, nil)
	_, _, err = b.Acquire(t.Context(), time.Now())
	assertErrorIs(t, err, rank.ErrLeaseHeld)
	a.KV = plain
	assertErrorIs(t, a.CAS(t.Context(), 0, naming.Record{Token: token}), nil)
}

func TestRecordRoundTrip(t *testing.T) {
	want := naming.Record{
		Token:      7,
		Activation: naming.Activation{Token: 6, Step: 1 << 40, Map: naming.Ref{Version: 6 << 20, Digest: 1<<64 - 1}},
	}
	b, err := rank.EncodeRecord(want)
	assertErrorIs(t, err, nil)
	got, err := rank.DecodeRecord(b)
	assertErrorIs(t, err, nil)
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if _, err := rank.DecodeRecord([]byte{0xff}); err == nil {
		t.Error("decoded an invalid record")
	}
}
