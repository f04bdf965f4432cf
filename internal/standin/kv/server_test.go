package kv

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

func putOp(key string) *etcdpb.RequestOp {
	p := &etcdpb.PutRequest{Key: []byte(key)}
	return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{RequestPut: p}}
}

func nested(ops ...*etcdpb.RequestOp) *etcdpb.RequestOp {
	t := &etcdpb.TxnRequest{Success: ops}
	return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestTxn{RequestTxn: t}}
}

func outer(n int, op func(i int) *etcdpb.RequestOp) *etcdpb.TxnRequest {
	t := &etcdpb.TxnRequest{}
	for i := range n {
		t.Success = append(t.Success, op(i))
	}
	return t
}

func TestTxnLimits(t *testing.T) {
	two := func(i int) *etcdpb.RequestOp { return nested(putOp(fmt.Sprint(i)), putOp(fmt.Sprint(i, "b"))) }
	for _, c := range []struct {
		name string
		txn  *etcdpb.TxnRequest
		want error
	}{
		{"as many as fit", outer(126, two), nil},
		{"one too many", outer(127, two), errTooManyOps},
		{"a key twice", outer(2, func(int) *etcdpb.RequestOp { return nested(putOp("a")) }), errDuplicateKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := (&Server{}).Txn(t.Context(), c.txn); err != c.want {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestControl(t *testing.T) {
	s := &Server{}
	post := func(body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.Control().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		return w
	}
	if w := post(`{"loseAnswers":1,"slowMicros":1,"holdWatches":true,"lapseMicros":1,"compact":true}`); w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
	if _, err := s.Put(t.Context(), &etcdpb.PutRequest{Key: []byte("a")}); err == nil {
		t.Error("the answer was not lost")
	}
	if w := post(`{"down":true}`); !strings.Contains(w.Body.String(), `"writes":1`) {
		t.Errorf("counts %s", w.Body)
	}
	if _, err := s.Put(t.Context(), &etcdpb.PutRequest{Key: []byte("a")}); err != errDown {
		t.Errorf("error %v, want down", err)
	}
	if w := post(`{"dawn":true}`); w.Code != http.StatusBadRequest {
		t.Errorf("an unknown order got status %d", w.Code)
	}
}
