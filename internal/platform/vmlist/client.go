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

// ErrInvalidConfig is returned by Client.Run if Addr, Period or Timeout is not set.
var ErrInvalidConfig = errors.New("vmlist: Client needs Addr, Period and Timeout")

// MaxHeadBytes bounds the head of a response. net/http allows 10 MB.
const MaxHeadBytes = 32 << 10

// Client polls the list of VMs. Set the exported fields before calling Run. A Client
// is safe for concurrent use.
type Client struct {
	// Addr is the address of the service, as IP:port.
	Addr string
	// Period is the time between polls, and Timeout bounds each request.
	Period  time.Duration
	Timeout time.Duration
	// HTTP sends the requests; nil means a transport with a limit on heads.
	HTTP http.RoundTripper
	// Log receives a message when polls begin to fail and when they succeed again; nil
	// means the standard logger.
	Log *logrus.Logger
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry

	once     sync.Once
	changed  chan struct{}
	failures metrics.Counter
	failing  bool // used only by the goroutine that runs Run

	mu       sync.Mutex // guards the fields below
	revision int64
	vms      map[string]VM
}

func (c *Client) init() {
	c.once.Do(func() {
		c.changed = make(chan struct{}, 1)
		c.vms = make(map[string]VM)
		if c.HTTP == nil {
			c.HTTP = &http.Transport{MaxResponseHeaderBytes: MaxHeadBytes}
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

// VMs returns the listed VMs in order of id. While polls fail it returns the last
// known list.
func (c *Client) VMs() []VM {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedByID(c.vms)
}

// Changed returns a channel that receives a value when the result of VMs has changed.
// Changes that have not been received yet are merged into one value.
func (c *Client) Changed() <-chan struct{} {
	c.init()
	return c.changed
}

// Run polls the list until ctx ends and then returns nil. It returns ErrInvalidConfig
// at once if a required field is not set.
func (c *Client) Run(ctx context.Context) error {
	if c.Addr == "" || c.Period <= 0 || c.Timeout <= 0 {
		return ErrInvalidConfig
	}
	c.init()
	t := time.NewTicker(c.Period)
	defer t.Stop()
	for ctx.Err() == nil {
		c.recordResult(c.poll(ctx))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return nil
}

// recordResult counts a failed poll and logs when polls begin to fail or succeed
// again.
func (c *Client) recordResult(err error) {
	if err != nil {
		c.failures.Inc(1)
	}
	if (err != nil) == c.failing {
		return
	}
	c.failing = err != nil
	if c.failing {
		c.Log.WithError(err).Warn("polling the VM list failed; keeping the last known list")
		return
	}
	c.Log.Info("polling the VM list succeeded again")
}

func (c *Client) poll(ctx context.Context) error {
	c.mu.Lock()
	since := c.revision
	c.mu.Unlock()
	d, err := c.fetch(ctx, since)
	if err != nil {
		return err
	}
	if d.revision >= since {
		c.apply(d, since == 0)
		return nil
	}
	// The list was recreated, so its delta doesn't apply to the known VMs.
	d, err = c.fetch(ctx, 0)
	if err != nil {
		return err
	}
	c.apply(d, true)
	return nil
}

func (c *Client) fetch(ctx context.Context, since int64) (Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	url := "http://" + c.Addr + "/vms?since=" + strconv.FormatInt(since, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Delta{}, err
	}
	resp, err := c.HTTP.RoundTrip(req)
	if err != nil {
		return Delta{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return Delta{}, err
	}
	if resp.StatusCode != http.StatusOK || len(body) > maxResponseBytes {
		return Delta{}, fmt.Errorf("%w: status %d, %d bytes", ErrMalformed, resp.StatusCode, len(body))
	}
	return DecodeDelta(body)
}

// apply updates the known VMs. If full is set, d holds all VMs and replaces them.
func (c *Client) apply(d Delta, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unchanged := d.revision == c.revision && len(d.vms) == 0 && len(d.removed) == 0
	if full {
		clear(c.vms)
	}
	for _, id := range d.removed {
		delete(c.vms, id)
	}
	for _, v := range d.vms {
		c.vms[v.id] = v
	}
	c.revision = d.revision
	if unchanged {
		return
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}
