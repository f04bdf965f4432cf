package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/httpstatus"
	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// maxAnswer bounds an answer: a time line of all processes.
	maxAnswer = 256 << 20
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 32 << 10
	// connectTimeout bounds how long an address that does not answer keeps
	// the next one waiting.
	connectTimeout = 2 * time.Second
)

// refusal is an entry's refusal, or one of the client's own.
type refusal struct {
	reply operator.ErrorReply
}

// Error implements error.
func (r *refusal) Error() string {
	e := result.New(result.Code(r.reply.Code), r.reply.Detail)
	return e.Error()
}

func refuse(c result.Code, detail string) *refusal {
	info, _ := result.Lookup(c)
	return &refusal{reply: operator.ErrorReply{
		Code: int(c), Name: info.Name(), Effect: info.Effect().String(), Text: info.Text(), Detail: detail,
	}}
}

// call is one request to the admin API.
type call struct {
	method string
	path   string
	body   any
	// change says that the call changes something.
	change bool
}

// client speaks with the admin API of entries.
type client struct {
	addrs   []string
	token   string
	tls     *tls.Config
	timeout time.Duration
}

// open reads what the options name.
func (p *Program) open() (*client, error) {
	c := &client{addrs: p.options.Admin, timeout: p.options.Timeout}
	if len(c.addrs) == 0 && p.Env("HYSSOPRELAY_ADMIN") != "" {
		c.addrs = strings.Split(p.Env("HYSSOPRELAY_ADMIN"), ",")
	}
	if len(c.addrs) == 0 {
		return nil, usageError{"no entry is named: give --admin IP:port or set HYSSOPRELAY_ADMIN"}
	}
	if err := c.readToken(p.options.TokenFile, p.Env("HYSSOPRELAY_TOKEN")); err != nil {
		return nil, err
	}
	if !p.options.Plain {
		cfg, err := tlsConfig(p.options.CA)
		if err != nil {
			return nil, err
		}
		c.tls = cfg
	}
	return c, nil
}

func (c *client) readToken(file, env string) error {
	c.token = env
	if file == "" {
		if env == "" {
			return usageError{"no operator token: give --tokenFile or set HYSSOPRELAY_TOKEN"}
		}
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	c.token = strings.TrimSpace(string(text))
	return nil
}

// ask sends one request to one address.
//
// nbhttp's client has no limit on the head of an answer, so net/http's is used. RoundTrip follows no
// redirect, and each call has a connection of its own.
func (c *client) ask(ctx context.Context, addr string, r call) reply {
	req, err := c.request(addr, r)
	if err != nil {
		return unreached{err}
	}
	var connected atomic.Bool
	t := &http.Transport{
		TLSClientConfig: c.tls, DisableKeepAlives: true, DisableCompression: true,
		ResponseHeaderTimeout: c.timeout, MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, min(connectTimeout, c.timeout))
			connected.Store(err == nil)
			return conn, err
		},
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+connectTimeout)
	defer cancel()
	res, err := t.RoundTrip(req.WithContext(ctx))
	return read(res, err, connected.Load())
}

func (c *client) request(addr string, r call) (*http.Request, error) {
	scheme := "https"
	if c.tls == nil {
		scheme = "http"
	}
	var body io.Reader
	if r.body != nil {
		b, err := json.Marshal(r.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequest(r.method, scheme+"://"+addr+r.path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Close = true
	return req, nil
}

func read(res *http.Response, err error, connected bool) reply {
	if err != nil && !connected {
		return unreached{err}
	}
	if err != nil {
		return lost{err}
	}
	if !httpstatus.IsValid(res.StatusCode) {
		return lost{errors.Join(result.Newf(result.EntryUnreachable, "HTTP status %d", res.StatusCode), res.Body.Close())}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = result.Newf(result.ResponseLimit, "more than %d bytes", maxAnswer)
	}
	if err = errors.Join(err, res.Body.Close()); err != nil {
		return lost{err}
	}
	if res.StatusCode < http.StatusMultipleChoices {
		return answered{body}
	}
	var e operator.ErrorReply
	if err := json.Unmarshal(body, &e); err != nil || e.Code == 0 {
		return lost{result.Newf(result.EntryUnreachable, "HTTP status %d without a result code", res.StatusCode)}
	}
	return refused{&refusal{reply: e}}
}
