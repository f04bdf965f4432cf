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

// releaseClaim closes a claim whose outcome no process can tell. It is the
// operator's word that the request was run or not: only the operator can look
// at the print desk or the order desk. Nothing is taken for granted here, so
// the outcome must be stated; a wrong "notRun" prints a catalogue twice, a
// wrong "ran" loses it.
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
	if req.Route == "" || req.Account == "" || req.Key == "" {
		return nil, result.New(result.MalformedOrder, "route, account and key are needed")
	}
	if req.Outcome != OutcomeRan && req.Outcome != OutcomeNotRun {
		return nil, result.New(result.MalformedOrder, "outcome: ran or notRun is needed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	c := Release{Route: req.Route, Account: req.Account, Key: req.Key, Ran: req.Outcome == OutcomeRan, By: o.By}
	if err := s.Claims.Release(ctx, c); err != nil {
		return nil, err
	}
	s.accepted.Inc(1)
	s.Log.WithFields(logrus.Fields{
		"changeId": o.ChangeID, "by": o.By, "route": c.Route, "account": c.Account, "outcome": req.Outcome,
	}).Info("operator released a claim")
	return ChangeReply{ChangeID: o.ChangeID, Name: result.OK.String()}, nil
}

// numbered gives a reading that failed its number: nothing was changed. The
// platform's client speaks of requests that may run only once, which an operator
// did not send.
func numbered(err error) error {
	e := result.Of(err)
	if e != nil && e.Code() != result.PlatformDown {
		return err
	}
	detail := err.Error()
	if e != nil {
		detail = e.Detail()
	}
	return result.New(result.PlatformRefused, detail)
}
