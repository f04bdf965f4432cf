package mirror

// Transfer collects changes, or a complete state, that arrive in pages. The zero value
// has received none. It is not safe for concurrent use.
//
// The pages may come from several processes, one after the other, so that a process
// whose source fails continues where the transfer broke off. If a hundred processes
// begin at the same moment and only a whole answer counts as progress, a sender that
// can't serve all of them within their time limit serves none.
type Transfer struct {
	received Page
	begun    bool
}

// Request returns the request for the next page of a process that knows all changes up
// to a revision, or nothing if known is false.
func (t *Transfer) Request(revision int64, known bool, pageBytes int) Request {
	q := Request{After: revision, Known: known, PageBytes: pageBytes}
	if t.begun {
		q.AfterKey, q.Complete = t.received.lastKey(), t.received.Complete
	}
	return q
}

// Add adds the answer to Request. It returns the update to be applied, and false if
// further pages are to come.
//
// The pages may be of different ages. The update counts as old as the oldest of them: the
// changes since then are requested again, and putting a key or deleting it twice does no
// harm.
func (t *Transfer) Add(p Page) (Update, bool) {
	if t.begun && t.received.Complete == p.Complete {
		p = t.joined(p)
	}
	t.received, t.begun = p, true
	if p.More {
		return Update{}, false
	}
	t.Reset()
	return p.Update, true
}

// joined returns a page with all that was received before.
func (t *Transfer) joined(p Page) Page {
	p.KVs = append(t.received.KVs, p.KVs...)
	p.Deleted = append(t.received.Deleted, p.Deleted...)
	p.Revision = min(p.Revision, t.received.Revision)
	p.Coverage = p.joined(t.received.Coverage)
	return p
}

// Reset drops what was received.
func (t *Transfer) Reset() { *t = Transfer{} }
