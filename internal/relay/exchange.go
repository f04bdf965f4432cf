package relay

import (
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
)

// exchangeFields adds to a log line how the last attempt was exchanged with its endpoint, and whether
// the caller had received a part of an answer. They tell an answer of another request, which a reused
// connection may carry, from one that can't follow what the caller has.
func (j *job) exchangeFields(f logrus.Fields) {
	x := j.exchange
	if x.Conn == 0 {
		return
	}
	f["connection"], f["requestsBefore"], f["begun"] = x.Conn, x.Earlier, j.progress != NothingSent
	if x.Status != 0 {
		f["answerStatus"] = x.Status
	}
	if x.Skipped > 0 {
		f["skipped"] = x.Skipped
	}
}

// LogStray logs and counts what an endpoint sent that belongs to no request in progress.
func (r *Relay) LogStray(s direct.Stray) {
	f := logrus.Fields{"address": s.Addr, "connection": s.Conn, "requestsBefore": s.Earlier}
	if s.Status == 0 {
		r.Metrics.strayBytes.Inc(1)
		f["bytes"] = s.Bytes
		r.Log.WithFields(f).Info("bytes from endpoint belong to no response")
		return
	}
	r.Metrics.strayAnswers.Inc(1)
	f["answerStatus"] = s.Status
	id := r.answerID(s.Header)
	if id == "" {
		r.Log.WithFields(f).Info("response from endpoint names no request")
		return
	}
	f["names"] = id
	r.Log.WithFields(f).Info("response from endpoint names another request")
}
