package operator

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

// Configuration is the operators' configuration.
type Configuration interface {
	// Current returns the newest configuration that is known here.
	Current() *config.Snapshot
	// Refresh reads the platform's service, so that Current knows at least
	// what the service knew at now.
	Refresh(ctx context.Context, now time.Time) error
	// Submit makes a change. Its errors are those of config.Writer.
	Submit(ctx context.Context, o config.Order, now time.Time) (config.Head, error)
}

// Claims are the claims on requests that may run only once.
type Claims interface {
	// List returns the claims of an account with a key; an empty text is any.
	List(ctx context.Context, account, key string) ([]Claim, error)
	// Release closes an open claim on an operator's word. It returns a
	// result.UnknownClaim when there is none, a result.ClaimRunning when its
	// agent may still run the request, and otherwise the errors of a change.
	Release(ctx context.Context, r Release) error
}

// Release is an operator's word on what became of a claimed request.
type Release struct {
	// Route, Account and Key name the claim.
	Route   string
	Account string
	Key     string
	// Ran says that the request was run, so that it must not run again. Else
	// it was not, and its key may be used again.
	Ran bool
	// By is the operator.
	By string
}

// Claim is an open claim as operators see it.
type Claim struct {
	Route     string `json:"route"`
	Account   string `json:"account"`
	Key       string `json:"key"`
	RequestID string `json:"requestId"`
	// Agent names the endpoint whose agent holds the claim.
	Agent string `json:"agent"`
	// State is claimed or unsettled.
	State    string `json:"state"`
	AtMicros int64  `json:"atMicros"`
	// RestMillis is after how long the claim can be released; 0 is at once.
	RestMillis int64 `json:"restMillis"`
}

// Status asks the processes for their state.
type Status interface {
	// Status returns what answered within ctx, and the names of the processes
	// that did not.
	Status(ctx context.Context) (replies []*peerpb.StatusReply, silent []string)
}

// Timeline asks the processes for their events.
type Timeline interface {
	// Timeline returns the events that the request selects, in any order, and
	// the names of the processes that did not answer.
	Timeline(ctx context.Context, r *peerpb.TimelineRequest) (events []*peerpb.TimelineEvent, silent []string)
}

// Document is the Configuration in the platform's service.
type Document struct {
	// Writer changes the document; its Store holds what is known here.
	Writer *config.Writer
}

// Current returns the newest configuration that is known here.
func (d Document) Current() *config.Snapshot { return d.Writer.Store.Current() }

// Refresh reads the document and the parts of it that are not known here.
func (d Document) Refresh(ctx context.Context, now time.Time) error {
	if err := d.Writer.Repair(ctx, now); err != nil {
		return err
	}
	for _, digest := range d.Current().MissingParts() {
		r, err := d.Writer.KV.Get(ctx, config.PartsPrefix+digest)
		if err != nil {
			return err
		}
		if kv, ok := r.First(); ok {
			d.Writer.Store.Merge(config.Head{}, kv.Value())
		}
	}
	return nil
}

// Submit makes a change.
func (d Document) Submit(ctx context.Context, o config.Order, now time.Time) (config.Head, error) {
	return d.Writer.Submit(ctx, o, now)
}
