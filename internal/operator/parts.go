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
	// Release ends a claim whose agent is gone, so that the key may be used
	// again. It returns a result.UnknownClaim when there is none, and a
	// result.ClaimRunning when its agent may still run it.
	Release(ctx context.Context, account, key, changeID string, now time.Time) error
}

// Claim is a claim as operators see it.
type Claim struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	Route   string `json:"route"`
	// Agent names the endpoint whose agent holds the claim.
	Agent string `json:"agent"`
	// State is running, unknown, answered or failed.
	State    string `json:"state"`
	AtMicros int64  `json:"atMicros"`
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
	for _, digest := range d.Current().Missing() {
		r, err := d.Writer.KV.Get(ctx, config.PartsPrefix+digest)
		if err != nil {
			return err
		}
		if kv, ok := r.First(); ok {
			d.Writer.Store.Offer(config.Head{}, kv.Value())
		}
	}
	return nil
}

// Submit makes a change.
func (d Document) Submit(ctx context.Context, o config.Order, now time.Time) (config.Head, error) {
	return d.Writer.Submit(ctx, o, now)
}
