package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

var epoch = time.Unix(1_000_000, 0)

func request(id string) *peerpb.RunRequest {
	return &peerpb.RunRequest{RequestId: id, Account: "clinic", Route: "small", Body: []byte("a quote")}
}

func anAttempt(req *peerpb.RunRequest) *attempt {
	return newAttempt(req, func() {}, epoch)
}

// transcript is what one follower was sent.
type transcript struct {
	kinds  string
	pieces []string
	next   uint64
	end    *peerpb.End
}

// read follows the attempt and writes down what comes, with a pause before each
// message.
func (tr *transcript) read(ctx context.Context, a *attempt, from uint64, pause time.Duration) error {
	tr.next = from
	return a.follow(ctx, from, false, func(r *peerpb.RunReply) error {
		time.Sleep(pause)
		switch k := r.GetKind().(type) {
		case *peerpb.RunReply_Accepted:
			tr.kinds += "a"
		case *peerpb.RunReply_Head:
			tr.kinds += "h"
		case *peerpb.RunReply_Piece:
			if k.Piece.GetNumber() != tr.next {
				return fmt.Errorf("piece %d in place of %d", k.Piece.GetNumber(), tr.next)
			}
			tr.next++
			tr.pieces = append(tr.pieces, string(k.Piece.GetData()))
		case *peerpb.RunReply_End:
			tr.end = k.End
		}
		return nil
	})
}

func assertTranscript(t *testing.T, name string, tr *transcript, want []string) {
	t.Helper()
	if got := strings.Join(tr.pieces, ""); got != strings.Join(want, "") {
		t.Errorf("%s: got %d bytes, want %d", name, len(got), len(strings.Join(want, "")))
	}
	if tr.end.GetPieces() != tr.next {
		t.Errorf("%s: the end says %d pieces, %d came", name, tr.end.GetPieces(), tr.next)
	}
	if tr.kinds != "ah" {
		t.Errorf("%s: before the pieces came %q", name, tr.kinds)
	}
}

// Several entries read one answer, each from another piece on and each at its
// own pace, while it is written. A follower that missed a piece or saw one
// twice would give its caller another text. The naive version is the list of
// pieces itself.
func TestFollowersGetWhatAListWouldGive(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			a := anAttempt(request("r"))
			var want []string
			for i := range rng.IntN(30) {
				want = append(want, strings.Repeat(string(rune('a'+i%26)), 1+rng.IntN(5)))
			}
			trs := make([]transcript, 4)
			from := make([]uint64, len(trs))
			done := make(chan error, len(trs))
			for i := range trs {
				from[i] = uint64(rng.IntN(len(want) + 1))
				wait, pause := time.Duration(rng.IntN(60)), time.Duration(rng.IntN(9))
				go func() {
					time.Sleep(wait)
					done <- trs[i].read(t.Context(), a, from[i], pause)
				}()
			}
			a.setAccepted(&peerpb.Accepted{})
			a.setHead(&peerpb.Head{Status: 200})
			for _, p := range want {
				time.Sleep(time.Duration(rng.IntN(5)))
				if err := a.add(t.Context(), []byte(p)); err != nil {
					t.Error(err)
				}
			}
			a.finish(endOf(nil), epoch)
			for range trs {
				if err := <-done; err != nil {
					t.Error(err)
				}
			}
			for i := range trs {
				assertTranscript(t, fmt.Sprintf("seed %d follower %d", seed, i), &trs[i], want[from[i]:])
			}
		})
	}
}

// A caller reads a very long answer over a slow line. Without the bound the
// agent would hold all of it, and some such callers would take the VM's memory;
// with it the endpoint waits, and the caller still gets every piece.
func TestLongAnswerWaitsForItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := anAttempt(request("r"))
		a.setAccepted(&peerpb.Accepted{})
		a.setHead(&peerpb.Head{Status: 200})
		var tr transcript
		done := make(chan error, 1)
		go func() { done <- tr.read(t.Context(), a, 0, time.Second) }()
		synctest.Wait()
		const pieces = 64
		piece := strings.Repeat("x", maxAnswerBytes/16)
		most := 0
		for range pieces {
			if err := a.add(t.Context(), []byte(piece)); err != nil {
				t.Fatal(err)
			}
			most = max(most, a.kept())
		}
		a.finish(endOf(nil), epoch)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if most > maxAnswerBytes {
			t.Errorf("held %d bytes, over %d", most, maxAnswerBytes)
		}
		if tr.next != pieces || tr.end.GetPieces() != pieces || tr.end.GetBytes() != pieces*uint64(len(piece)) {
			t.Errorf("%d pieces came, the end says %v", tr.next, tr.end)
		}
		// Whoever comes late is told that the answer is no longer whole here.
		var late transcript
		if err := late.read(t.Context(), a, 0, 0); err != nil {
			t.Fatal(err)
		}
		if late.end.GetCode() != int32(result.AnswerNotFound) || late.next != 0 {
			t.Errorf("a late follower got %d pieces and %v", late.next, late.end)
		}
	})
}

// The only reader of a very long answer is cut off. Without an end the endpoint
// would be held up for ever by an answer that nobody reads.
func TestLongAnswerEndsWithoutAReader(t *testing.T) {
	a := anAttempt(request("r"))
	var err error
	for i := 0; i < 64 && err == nil; i++ {
		err = a.add(context.Background(), make([]byte, maxAnswerBytes/16))
	}
	if result.CodeOf(err) != result.AnswerIncomplete {
		t.Errorf("got %v", err)
	}
	if a.kept() > maxAnswerBytes {
		t.Errorf("held %d bytes", a.kept())
	}
}

// An attempt is cut short by its deadline and the endpoint's answer ends right
// after. Followers that came later must not be told another end than the first.
func TestFirstEndStays(t *testing.T) {
	a := anAttempt(request("r"))
	a.finish(endOf(result.New(result.DeadlineExceeded, "")), epoch)
	a.finish(endOf(nil), epoch.Add(time.Second))
	e, at := a.ended()
	if e.GetCode() != int32(result.DeadlineExceeded) || !at.Equal(epoch) {
		t.Errorf("ended with %v at %v", e, at)
	}
}

// A caller leaves while the answer is on its way. The call must end and be
// forgotten, or the endpoint would wait for a reader that is gone.
func TestFollowerThatLeavesIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := anAttempt(request("r"))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		var tr transcript
		go func() { done <- tr.read(ctx, a, 0, 0) }()
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
		if n := len(a.followers); n != 0 {
			t.Errorf("%d followers are left", n)
		}
	})
}
