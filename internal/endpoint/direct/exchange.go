package direct

import "net/http"

// Exchange describes how a request was exchanged with an endpoint.
type Exchange struct {
	// Conn numbers the connections of a Client, from 1 on; zero means that there was none.
	Conn int64
	// Earlier is the number of requests that the connection carried before.
	Earlier int
	// Status is the status of the response, or zero if none has arrived.
	Status int
	// Skipped is the number of responses before it that name another request, or none.
	Skipped int
}

// Stray describes what an endpoint sent that belongs to no request in progress.
type Stray struct {
	// Addr is the endpoint's IP:port.
	Addr string
	// Conn and Earlier are those of Exchange.
	Conn    int64
	Earlier int
	// Status and Header are those of a response that names another request, or none. Status is zero if bytes
	// arrived while no response was due, or another response within the body of one.
	Status int
	Header http.Header
	// Bytes is how many such bytes were seen, which may be fewer than the endpoint sent.
	Bytes int
}

// reportStray reports what arrived on cn to OnStray.
func (c *Client) reportStray(cn *conn, s Stray) {
	if c.OnStray == nil {
		return
	}
	s.Addr, s.Conn, s.Earlier = cn.addr, cn.serial, cn.requests
	c.OnStray(s)
}

// recordExchange copies the state of the exchange to the request's Exchange.
func (r *Response) recordExchange(req *Request) {
	if req.Exchange == nil {
		return
	}
	*req.Exchange = Exchange{Conn: r.conn.serial, Earlier: r.conn.requests, Status: r.Status, Skipped: r.skipped}
}
