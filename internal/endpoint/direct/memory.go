package direct

import "sync"

// defaultMemory is the limit of a Memory that has none, in bytes.
const defaultMemory = 8 << 20

// Memory bounds the bytes that a Client buffers for the responses on all connections: heads, events,
// and bodies of unknown length. The response that needs more than that is ended. It is safe for
// concurrent use.
type Memory struct {
	// Limit is the bound in bytes; zero selects the default of 8 MB. One endpoint may use half of it,
	// so that a faulty one doesn't end the responses of others. Set it before the first call.
	Limit int64

	mu         sync.Mutex // guards all below
	held       int64
	byEndpoint map[string]int64
}

// tryAdd adds n bytes for an endpoint if they fit, or if nothing else is held.
func (m *Memory) tryAdd(addr string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.Limit
	if limit <= 0 {
		limit = defaultMemory
	}
	own := m.byEndpoint[addr]
	if m.held > 0 && (m.held+n > limit || own+n > limit/2) {
		return false
	}
	if m.byEndpoint == nil {
		m.byEndpoint = map[string]int64{}
	}
	m.held += n
	m.byEndpoint[addr] = own + n
	return true
}

func (m *Memory) release(addr string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
	if m.byEndpoint[addr] -= n; m.byEndpoint[addr] <= 0 {
		delete(m.byEndpoint, addr)
	}
}

// Held returns the number of bytes that are held.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// hold has the response hold the bytes that it buffers beyond those that aren't counted.
func (r *Response) hold(buffered, uncounted int) error {
	more := int64(max(0, buffered-uncounted)) - r.held
	switch {
	case more < 0:
		r.client.Memory.release(r.conn.addr, -more)
	case more > 0 && !r.client.Memory.tryAdd(r.conn.addr, more):
		return &LimitError{Limit: LimitMemory, Bytes: r.conn.guard.received}
	}
	r.held += more
	return nil
}

// holdBuffer is hold for heads and events.
func (r *Response) holdBuffer(n int) error { return r.hold(n, uncountedBytes) }
