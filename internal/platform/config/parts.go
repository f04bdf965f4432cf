package config

import "context"

// FetchParts reads the parts that the document references and the store lacks.
// It also writes parts back that were found missing in the service and have
// since been received from a peer. It makes no call when there is nothing to
// do. The error is that of the first failed call.
//
// After the service was restored from an older copy, a part may exist only in
// some processes, which have no reason to look for it in the service. Without
// the write, a VM that starts would find a document whose preset has no body.
func (w *Writer) FetchParts(ctx context.Context) error {
	if err := w.rewriteLost(ctx); err != nil {
		return err
	}
	for _, d := range w.Store.Current().MissingParts() {
		r, err := w.KV.Get(ctx, PartsPrefix+d)
		if err != nil {
			return err
		}
		kv, ok := r.First()
		if !ok {
			w.markLost(d)
			continue
		}
		w.Store.Merge(Head{}, kv.Value())
	}
	return nil
}

// markLost notes that the service lacks a part.
func (w *Writer) markLost(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lostParts == nil {
		w.lostParts = make(map[string]bool)
	}
	w.lostParts[digest] = true
}

// rewriteLost writes the parts that the service lacks and that are now in the
// store. It forgets those that the document no longer references.
func (w *Writer) rewriteLost(ctx context.Context) error {
	c := w.Store.Current()
	for _, d := range w.lostDigests() {
		b, known := c.Part(d)
		if !known && c.references(d) {
			continue
		}
		if known {
			if err := w.putPart(ctx, b); err != nil {
				return err
			}
		}
		w.mu.Lock()
		delete(w.lostParts, d)
		w.mu.Unlock()
	}
	return nil
}

func (w *Writer) lostDigests() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ds := make([]string, 0, len(w.lostParts))
	for d := range w.lostParts {
		ds = append(ds, d)
	}
	return ds
}

// references reports whether the document references the part.
func (s *Snapshot) references(digest string) bool {
	for _, p := range s.head.presets {
		if p.digest == digest {
			return true
		}
	}
	return false
}
