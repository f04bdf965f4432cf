package relay

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// fingerprintJob returns a request that changes modifies.
func fingerprintJob(change func(j *job)) *job {
	j := &job{
		raw:         &caller.RawRequest{Method: "POST", Host: "h", Target: "/p/1?x=1", Path: "/p/1", Body: []byte("body")},
		requestInfo: RequestInfo{ID: "1", Work: "m\n10,20\nf1:40"},
		account:     &routing.Account{Name: "a"},
	}
	change(j)
	return j
}

func (j *job) testFingerprint() string {
	return Fingerprint(j.accountName(), j.raw, j.requestInfo.Work)
}

// Two attempts of one request must have one fingerprint, and requests for different work, or of
// different accounts, different ones.
func TestFingerprintIsThatOfTheWork(t *testing.T) {
	want := fingerprintJob(func(*job) {}).testFingerprint()
	for name, c := range map[string]struct {
		change func(j *job)
		same   bool
	}{
		"another attempt":    {func(j *job) { j.requestInfo.ID, j.requestInfo.TimeLeft, j.requestInfo.Resume = "2", 5, "3" }, true},
		"another account":    {func(j *job) { j.account = &routing.Account{Name: "b"} }, false},
		"no account":         {func(j *job) { j.account = nil }, false},
		"another host":       {func(j *job) { j.raw.Host = "i" }, false},
		"another method":     {func(j *job) { j.raw.Method = "PUT" }, false},
		"another query":      {func(j *job) { j.raw.Target = "/p/1?x=2" }, false},
		"another prompt":     {func(j *job) { j.requestInfo.Work = "m\n10,20\nf2:40" }, false},
		"another body":       {func(j *job) { j.raw.Body = []byte("body2") }, false},
		"fields moved about": {func(j *job) { j.raw.Host, j.raw.Method = "hP", "OST" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := fingerprintJob(c.change).testFingerprint(); (got == want) != c.same {
				t.Errorf("%s, want the same as %s: %t", got, want, c.same)
			}
		})
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, n := range []int{0, 1 << 10, 64 << 10, 4 << 20} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			j := fingerprintJob(func(j *job) { j.raw.Body = bytes.Repeat([]byte{'x'}, n) })
			b.ReportAllocs()
			for b.Loop() {
				j.testFingerprint()
			}
		})
	}
}
