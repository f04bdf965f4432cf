package operator

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// errNoClaims answers where the process keeps no claims.
var errNoClaims = result.New(result.PlatformRefused, "this process knows no claims")

func (s *Server) listClaims(r *http.Request) (any, error) {
	if s.Claims == nil {
		return nil, errNoClaims
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	q := r.URL.Query()
	claims, err := s.Claims.List(ctx, q.Get("account"), q.Get("key"))
	if err != nil {
		return nil, numbered(err)
	}
	if claims == nil {
		claims = []Claim{}
	}
	return ClaimList{Claims: claims}, nil
}

// releaseClaim ends a claim whose outcome nobody can tell. It is the
// operator's word that the request was not run, or may run again: only the
// operator can look at the print desk or the order desk.
func (s *Server) releaseClaim(r *http.Request) (any, error) {
	if s.Claims == nil {
		return nil, errNoClaims
	}
	var req ReleaseRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	o, err := order(req.ChangeRequest, nil)
	if err != nil {
		return nil, err
	}
	if req.Account == "" || req.Key == "" {
		return nil, result.New(result.MalformedOrder, "account and key are needed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	if err := s.Claims.Release(ctx, req.Account, req.Key, o.ChangeID, s.Now()); err != nil {
		return nil, err
	}
	s.accepted.Inc(1)
	s.Log.WithFields(logrus.Fields{
		"changeId": o.ChangeID, "by": o.By, "account": req.Account, "key": req.Key,
	}).Info("operator released a claim")
	return ChangeReply{ChangeID: o.ChangeID, Name: result.OK.String()}, nil
}

// numbered gives a reading that failed its number: nothing was changed.
func numbered(err error) error {
	if result.Of(err) != nil {
		return err
	}
	return result.New(result.PlatformRefused, err.Error())
}
