package config

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomStore is a store that random changes are applied to.
type randomStore struct {
	name  string
	store *Store
	rng   *rand.Rand
	n     int
	// stepKinds is the number of kinds of steps to choose from: 4 without
	// holds, 6 with holds and releases.
	stepKinds int
}

// step applies one random change to the store.
func (r *randomStore) step(t *testing.T) {
	t.Helper()
	r.n++
	id := fmt.Sprintf("%s-%d", r.name, r.n)
	target := Endpoint(fmt.Sprintf("e%d", r.rng.IntN(6)))
	o := Order{ChangeID: id, By: "operator"}
	switch r.rng.IntN(r.stepKinds) {
	case 0:
		o.Change = PutPreset{Name: fmt.Sprintf("p%d", r.rng.IntN(3)), Body: []byte(id)}
	case 1, 2:
		o.Change = TakeOutOfService{Target: target}
	case 3:
		o.Change = ReturnToService{Target: target}
	case 4:
		r.store.addHold(newHold(o, target, time.UnixMicro(int64(r.n))))
		return
	default:
		r.store.releaseHolds(target, release{changeID: id, by: "operator"})
		return
	}
	h, err := Apply(r.store.Current().Head(), o, time.UnixMicro(int64(r.n)))
	if err != nil {
		t.Fatal(err)
	}
	r.store.Merge(h)
}

// exchange runs an exchange between two stores and returns the number of bytes
// sent.
func exchange(t *testing.T, a, b *Store) int {
	t.Helper()
	size := 0
	msg := a.DigestMessage()
	for range 8 {
		reply, _, err := b.HandleMessage(msg, nil)
		if err != nil {
			t.Fatal(err)
		}
		size += len(msg) + len(reply)
		msg, err = a.HandleReply(reply, nil)
		if err != nil {
			t.Fatal(err)
		}
		if msg == nil {
			return size
		}
	}
	t.Fatal("the exchange did not end after 8 rounds")
	return 0
}

// joinStores returns a store that joins the full state of both, without
// messages.
func joinStores(a, b *Store) *Store {
	n := &Store{}
	for _, s := range []*Store{a, b} {
		c := s.Current()
		n.join(c.head, c.holds, nil)
	}
	return n
}

func assertSame(t *testing.T, what string, got, want *Store) {
	t.Helper()
	if got.Current().digest != want.Current().digest {
		t.Errorf("%s:\n%s\nwant\n%s", what, got.FullMessage(), want.FullMessage())
	}
}

// Two processes change their configuration, in part without contact. After an
// exchange of deltas both must have the state that a join of the whole documents
// gives.
func TestExchangeMatchesJoinOfFullDocuments(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := &randomStore{name: "a", store: &Store{}, rng: rng, stepKinds: 6}
		b := &randomStore{name: "b", store: &Store{}, rng: rng, stepKinds: 6}
		for range 1 + rng.IntN(4) {
			for range rng.IntN(40) {
				a.step(t)
			}
			if rng.IntN(2) == 0 {
				for range rng.IntN(20) {
					b.step(t)
				}
			}
			want := joinStores(a.store, b.store)
			exchange(t, a.store, b.store)
			assertSame(t, fmt.Sprintf("seed %d, a", seed), a.store, want)
			assertSame(t, fmt.Sprintf("seed %d, b", seed), b.store, want)
		}
	}
}

// A peer that is a few changes behind gets a delta, not the whole document; a
// peer without a known state gets the whole document. The test excludes holds,
// which every delta contains in full.
func TestDeltaSizeDependsOnNumberOfChanges(t *testing.T) {
	a := &randomStore{name: "a", store: &Store{}, rng: rand.New(rand.NewPCG(1, 1)), stepKinds: 4}
	for range 300 {
		a.step(t)
	}
	b := &Store{}
	if n := exchange(t, b, a.store); n < len(a.store.FullMessage())/2 {
		t.Errorf("a new process received the whole document in %d bytes", n)
	}
	for _, behind := range []int{1, 4, maxHistory / 2} {
		for range behind {
			a.step(t)
		}
		if n := exchange(t, a.store, b); n > 1500+600*behind {
			t.Errorf("an exchange of %d changes took %d bytes", behind, n)
		}
		assertSame(t, fmt.Sprintf("%d behind", behind), b, a.store)
	}
}

// A delta arrives damaged or with the digest of another base. If it were
// applied, the process would use and spread a document that nobody wrote.
func TestInvalidDeltaIsRejected(t *testing.T) {
	a := &randomStore{name: "a", store: &Store{}, rng: rand.New(rand.NewPCG(2, 1)), stepKinds: 4}
	for range 30 {
		a.step(t)
	}
	b := &Store{}
	exchange(t, b, a.store)
	o := Order{ChangeID: "out-of-b", By: "operator", Change: TakeOutOfService{Target: DataCentre("b")}}
	h, err := Apply(a.store.Current().Head(), o, time.UnixMicro(1))
	if err != nil {
		t.Fatal(err)
	}
	before := a.store.findState(a.store.Current().digest)
	a.store.Merge(h)
	msg := deltaMessage(before, a.store.Current())
	damaged := bytes.Replace(msg, []byte(`"name":"b"`), []byte(`"name":"c"`), 1)
	wrongBase := bytes.Replace(msg, []byte(before.digest), []byte("00000000000000000000000000000000"), 1)
	for _, bad := range [][]byte{damaged, wrongBase} {
		if bytes.Equal(bad, msg) {
			t.Fatal("the message was not modified")
		}
		reply, _, err := b.HandleMessage(bad, nil)
		if err != nil {
			t.Fatal(err)
		}
		if b.Current().IsOutOfService(DataCentre("c")) || b.Current().digest != before.digest {
			t.Error("an invalid delta was applied")
		}
		if !bytes.Contains(reply, []byte(`"whole":true`)) {
			t.Errorf("the reply does not request the whole document: %s", reply)
		}
		next, err := a.store.HandleReply(reply, nil)
		if err != nil || !bytes.Contains(next, []byte(`"head":`)) {
			t.Fatalf("the whole document was not sent: error %v, message %s", err, next)
		}
	}
	exchange(t, a.store, b)
	assertSame(t, "after the exchange", b, a.store)
}
