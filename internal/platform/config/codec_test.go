package config

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func mustApply(t testing.TB, h Head, id string, c Change) Head {
	t.Helper()
	n, err := Apply(h, Order{ChangeID: id, By: "op", Change: c}, epoch)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func sampleHead(t testing.TB) Head {
	h := mustApply(t, Head{}, "c1", PutPreset{Name: "day", Body: []byte("x")})
	h = mustApply(t, h, "c2", TakeOutOfService{Target: DataCentre("a")})
	return mustApply(t, h, "c3", TakeOutOfService{Target: Endpoint("10.0.0.1:80")})
}

func FuzzDecodeHead(f *testing.F) {
	f.Add(Head{}.Encode())
	f.Add(sampleHead(f).Encode())
	f.Add([]byte(`{"generation":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := DecodeHead(b)
		if err != nil {
			return
		}
		again, err := DecodeHead(h.Encode())
		if err != nil || !bytes.Equal(again.Encode(), h.Encode()) {
			t.Errorf("%s decoded to %s, error %v", b, h.Encode(), err)
		}
	})
}

func TestDecodeHeadRejectsInvalidDocument(t *testing.T) {
	good := string(sampleHead(t).Encode())
	for _, c := range []struct{ name, old, replacement string }{
		{"unknown key", `{"generation"`, `{"x":1,"generation"`},
		{"data after the document", good, good + "{}"},
		{"unknown preset in force", `"inForce":"day"`, `"inForce":"night"`},
		{"bad digest", Digest([]byte("x")), "abc"},
		{"future order", `"name":"a","generation":2`, `"name":"a","generation":9`},
		{"unknown kind", `"kind":"dataCentre"`, `"kind":"rack"`},
		{"generation without its change", `{"generation":3`, `{"generation":4`},
		{"changes out of order", `{"generation":1,"changeId":"c1"},`, `{"generation":3,"changeId":"c1"},`},
		{"floor above the generation", `"floor":0`, `"floor":7`},
	} {
		t.Run(c.name, func(t *testing.T) {
			bad := strings.Replace(good, c.old, c.replacement, 1)
			if _, err := DecodeHead([]byte(bad)); bad == good || !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v for %s", err, bad)
			}
		})
	}
	if _, err := DecodeHead(make([]byte, MaxHeadBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want ErrTooLarge", err)
	}
}

func TestApplyRejectsInvalidOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		order Order
		want  result.Code
	}{
		{"no id", Order{By: "op", Change: ReturnToService{Target: DataCentre("a")}}, result.MalformedOrder},
		{"no operator", Order{ChangeID: "c", Change: ReturnToService{Target: DataCentre("a")}}, result.MalformedOrder},
		{"no change", Order{ChangeID: "c", By: "op"}, result.MalformedOrder},
		{"bad name", Order{ChangeID: "c", By: "op", Change: TakeOutOfService{Target: DataCentre("a b")}}, result.MalformedOrder},
		{"unknown preset", Order{ChangeID: "c", By: "op", Change: SwitchPreset{Name: "x"}}, result.UnknownPreset},
		{"large", Order{ChangeID: "c", By: "op", Change: PutPreset{Name: "x", Body: make([]byte, MaxPartBytes+1)}}, result.BodyTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Apply(Head{}, c.order, epoch)
			wantCode(t, err, c.want)
		})
	}
}

func wantCode(t testing.TB, err error, want result.Code) {
	t.Helper()
	if got := result.CodeOf(err); got != want {
		t.Errorf("%v: code %v, want %v", err, got, want)
	}
}
