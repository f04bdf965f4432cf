package endpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Values that Run sets for fields that are zero.
const (
	DefaultDialTimeout    = time.Second
	DefaultHeadTimeout    = 30 * time.Second
	DefaultWholeTimeout   = time.Hour
	DefaultPieceTimeout   = 30 * time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxConns       = 256
	DefaultMaxAnswerBytes = 8 << 20
)

const (
	// controlConns is how many calls besides requests (cancels, load reports,
	// orders) may be open at once. They have connections of their own, so that
	// a cancel gets through when requests hold all others.
	controlConns = 4
	// cancelQueue is how many cancels may wait. An endpoint that takes longer
	// learns from the closed connection alone.
	cancelQueue = 256
)

// Client calls one endpoint. Set the exported fields, then start Run; Do and
// the other calls wait until Run has begun.
type Client struct {
	// Addr is the endpoint's IP:port.
	Addr string
	// DialTimeout bounds connecting.
	DialTimeout time.Duration
	// HeadTimeout bounds the time from a request for a stream, an order or a
	// report to the head of its answer.
	HeadTimeout time.Duration
	// WholeTimeout bounds the same for all other requests, whose endpoint sends
	// nothing before it has computed the whole answer. It is long: the deadline
	// in the context of Do is what bounds these requests.
	WholeTimeout time.Duration
	// PieceTimeout bounds the silence between two parts of an answer.
	PieceTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It has to be shorter
	// than the endpoint's own: a connection that the endpoint closes while a
	// request is on its way leaves the outcome unknown.
	IdleTimeout time.Duration
	// MaxConns bounds the connections for requests.
	MaxConns int
	// MaxAnswerBytes bounds what has to be held until it is whole: an answer of
	// declared length, one chunk, one event of a stream.
	MaxAnswerBytes int
	// Service says that the endpoint is a plain service: it has no call that
	// cancels a request.
	Service bool
	// Lost, when set, is told each time that the endpoint closes a connection
	// which it had kept open, and how long that had been idle. It is called by
	// the event loop and must not block.
	Lost func(idle time.Duration)
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry
	// Log receives changes of state; nil means the standard logger.
	Log logrus.FieldLogger

	once     sync.Once
	started  chan struct{}
	ended    chan struct{}
	requests *pool
	control  *pool
	cancels  chan string
	pending  pendingCancels
	counters counters
	// controlCalls counts the calls besides requests, to name them.
	controlCalls atomic.Uint64
}

func (c *Client) prepare() {
	c.once.Do(func() {
		c.started = make(chan struct{})
		c.ended = make(chan struct{})
	})
}

func (c *Client) setDefaults() {
	setDuration(&c.DialTimeout, DefaultDialTimeout)
	setDuration(&c.HeadTimeout, DefaultHeadTimeout)
	setDuration(&c.WholeTimeout, DefaultWholeTimeout)
	setDuration(&c.PieceTimeout, DefaultPieceTimeout)
	setDuration(&c.IdleTimeout, DefaultIdleTimeout)
	if c.MaxConns <= 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run serves calls until ctx ends, then closes all connections. A Client runs
// once.
func (c *Client) Run(ctx context.Context) error {
	c.prepare()
	c.setDefaults()
	c.counters = newCounters(c.Metrics)
	l, err := startLoop(c.Lost)
	if err != nil {
		return eris.Wrap(err, "start the event loop to the endpoint")
	}
	c.requests = newPool(c, l, c.MaxConns)
	c.control = newPool(c, l, controlConns)
	c.cancels = make(chan string, cancelQueue)
	close(c.started)
	c.runCancels(ctx)
	close(c.ended)
	c.requests.closeIdle()
	c.control.closeIdle()
	l.stop()
	return nil
}

// running waits for Run to begin.
func (c *Client) running(ctx context.Context) error {
	c.prepare()
	select {
	case <-c.started:
	case <-ctx.Done():
		return notSent(ctx)
	}
	select {
	case <-c.ended:
		return errStopped()
	default:
		return nil
	}
}

func errStopped() error {
	return result.New(result.ShuttingDown, "the endpoint client has stopped")
}

// notSent returns the result of a call that ended before its first byte.
func notSent(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return result.New(result.DeadlinePassed, "before the request went to the endpoint")
	}
	return result.New(result.Cancelled, "before the request went to the endpoint")
}
