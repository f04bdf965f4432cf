package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// submitTimeout bounds a change of presets or claims.
	submitTimeout = 5 * time.Second
	// targetTimeout bounds an order to take out or bring in. It is shorter,
	// because without the platform's service the order is enforced here only
	// when this time is over, and work must stop within a few seconds.
	targetTimeout = 2 * time.Second
	// defaultBy is the operator's name where none is given.
	defaultBy = "operator"
)

// order turns a request into an order of the configuration.
func order(c ChangeRequest, change config.Change) (config.Order, error) {
	if c.By == "" {
		c.By = defaultBy
	}
	if !inifile.ValidName(c.ChangeID) {
		return config.Order{}, result.New(result.MalformedOrder, "changeId: needed, "+inifile.NameRule)
	}
	if !inifile.ValidName(c.By) {
		return config.Order{}, result.New(result.MalformedOrder, "by: "+inifile.NameRule)
	}
	return config.Order{ChangeID: c.ChangeID, By: c.By, IfGeneration: c.IfGeneration, Change: change}, nil
}

func (s *Server) putPreset(r *http.Request) (any, error) {
	name, err := pathName(r)
	if err != nil {
		return nil, err
	}
	var req PutRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	return s.change(req.ChangeRequest, config.PutPreset{Name: name, Body: []byte(req.Text)}, submitTimeout)
}

func (s *Server) switchPreset(r *http.Request) (any, error) {
	name, err := pathName(r)
	if err != nil {
		return nil, err
	}
	var req ChangeRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	return s.change(req, config.SwitchPreset{Name: name}, submitTimeout)
}

func (s *Server) moveDataCentre(r *http.Request) (any, error) {
	return s.move(r, config.DataCentre)
}

func (s *Server) moveEndpoint(r *http.Request) (any, error) {
	return s.move(r, config.Endpoint)
}

func (s *Server) move(r *http.Request, target func(string) config.Target) (any, error) {
	name, err := pathName(r)
	if err != nil {
		return nil, err
	}
	var req ChangeRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	switch r.PathValue("way") {
	case "out":
		return s.change(req, config.TakeOutOfService{Target: target(name)}, targetTimeout)
	case "in":
		return s.change(req, config.ReturnToService{Target: target(name)}, targetTimeout)
	}
	return nil, result.New(result.MalformedOrder, "the path must end with out or in")
}

// change carries out an order and describes the configuration after it.
func (s *Server) change(req ChangeRequest, c config.Change, limit time.Duration) (any, error) {
	o, err := order(req, c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	h, err := submit(ctx, s.Configuration, o, s.Now())
	code := result.CodeOf(err)
	if err != nil && code != result.HeldLocally {
		return nil, err
	}
	s.accepted.Inc(1)
	s.Log.WithFields(logrus.Fields{
		"changeId": o.ChangeID, "by": o.By, "generation": h.Generation(), "result": code.String(),
	}).Info("operator's change accepted")
	p, _ := h.InForce()
	reply := ChangeReply{
		ChangeID:   o.ChangeID,
		Generation: h.Generation(),
		InForce:    p.Name(),
		Held:       code == result.HeldLocally,
		Code:       int(code),
		Name:       code.String(),
	}
	if info, ok := result.Lookup(code); ok && reply.Held {
		reply.Detail = info.Text()
	}
	return reply, nil
}
