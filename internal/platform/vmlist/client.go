package vmlist

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// ErrFields says that a Client lacks Addr, Period or Timeout.
var ErrFields = errors.New("vmlist: Client needs Addr, Period and Timeout")

// Client polls the list. Set the fields, then Run it. It may be used by several
// goroutines.
type Client struct {
	// Addr is the list's address, IP:port.
	Addr string
	// Period is the time between polls and Timeout the limit of one.
	Period  time.Duration
	Timeout time.Duration
	// HTTP sends the requests; nil means http.DefaultTransport.
	HTTP http.RoundTripper
	// Log receives changes of state; nil means the standard logger.
	Log *logrus.Logger
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry

	once     sync.Once
	changed  chan struct{}
	failures metrics.Counter
	failing  bool // of the goroutine that runs Run

	mu       sync.Mutex // guards all below
	revision int64
	vms      map[string]VM
}

func (c *Client) init() {
	c.once.Do(func() {
		c.changed = make(chan struct{}, 1)
		c.vms = make(map[string]VM)
		if c.HTTP == nil {
			c.HTTP = http.DefaultTransport
		}
		if c.Log == nil {
			c.Log = logrus.StandardLogger()
		}
		r := c.Metrics
		if r == nil {
			r = metrics.DefaultRegistry
		}
		c.failures = metrics.GetOrRegisterCounter("vmlist.pollFailures", r)
	})
}

// VMs returns the VMs of the last answer by id. While the list does not answer
// it is the last one that it gave.
func (c *Client) VMs() []VM {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return sorted(c.vms)
}

// Changed returns a channel that holds a token when VMs has changed.
func (c *Client) Changed() <-chan struct{} {
	c.init()
	return c.changed
}

// Run polls until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	if c.Addr == "" || c.Period <= 0 || c.Timeout <= 0 {
		return ErrFields
	}
	c.init()
	t := time.NewTicker(c.Period)
	defer t.Stop()
	for ctx.Err() == nil {
		c.note(c.poll(ctx))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return nil
}

// note counts a failure and logs when the list begins or ceases to fail.
func (c *Client) note(err error) {
	if err != nil {
		c.failures.Inc(1)
	}
	if (err != nil) == c.failing {
		return
	}
	c.failing = err != nil
	if c.failing {
		c.Log.WithError(err).Warn("the list of VMs does not answer; the last one stays in use")
		return
	}
	c.Log.Info("the list of VMs answers again")
}

func (c *Client) poll(ctx context.Context) error {
	c.mu.Lock()
	since := c.revision
	c.mu.Unlock()
	d, err := c.get(ctx, since)
	if err != nil {
		return err
	}
	if d.revision >= since {
		c.apply(d, since == 0)
		return nil
	}
	// The list began anew and its delta tells nothing about the VMs known here.
	d, err = c.get(ctx, 0)
	if err != nil {
		return err
	}
	c.apply(d, true)
	return nil
}

func (c *Client) get(ctx context.Context, since int64) (Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	url := "http://" + c.Addr + "/vms?since=" + strconv.FormatInt(since, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Delta{}, err
	}
	p, err := c.HTTP.RoundTrip(r)
	if err != nil {
		return Delta{}, err
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer+1))
	if err := errors.Join(err, p.Body.Close()); err != nil {
		return Delta{}, err
	}
	if p.StatusCode != http.StatusOK || len(b) > maxAnswer {
		return Delta{}, fmt.Errorf("%w: status %d, %d bytes", ErrMalformed, p.StatusCode, len(b))
	}
	return DecodeDelta(b)
}

// apply takes in an answer; whole says that it holds all VMs.
func (c *Client) apply(d Delta, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	same := d.revision == c.revision && len(d.vms) == 0 && len(d.removed) == 0
	if whole {
		clear(c.vms)
	}
	for _, id := range d.removed {
		delete(c.vms, id)
	}
	for _, v := range d.vms {
		c.vms[v.id] = v
	}
	c.revision = d.revision
	if same {
		return
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}
