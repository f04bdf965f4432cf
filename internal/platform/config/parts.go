package config

import "context"

// FetchParts reads the parts that the document names and that are not known
// here, and writes those that the service was found to lack as soon as they
// came from a peer. It costs nothing when all parts are known.
//
// It guards against a part that only some processes still hold after the
// service was restored from an older copy: they have no reason to look for it
// there, and a VM that starts would find a document without its preset.
func (w *Writer) FetchParts(ctx context.Context) error {
	if err := w.rewriteLost(ctx); err != nil {
		return err
	}
	for _, d := range w.Store.Current().Missing() {
		r, err := w.KV.Get(ctx, PartsPrefix+d)
		if err != nil {
			return err
		}
		kv, ok := r.First()
		if !ok {
			w.markLost(d)
			continue
		}
		w.Store.Offer(Head{}, kv.Value())
	}
	return nil
}

func (w *Writer) markLost(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost == nil {
		w.lost = make(map[string]bool)
	}
	w.lost[digest] = true
}

// rewriteLost writes the parts that the service lacked and that have come from
// a peer since.
func (w *Writer) rewriteLost(ctx context.Context) error {
	c := w.Store.Current()
	for _, d := range w.lostDigests() {
		b, known := c.Part(d)
		if !known && c.names(d) {
			continue
		}
		if known {
			if err := w.putPart(ctx, b); err != nil {
				return err
			}
		}
		w.mu.Lock()
		delete(w.lost, d)
		w.mu.Unlock()
	}
	return nil
}

func (w *Writer) lostDigests() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ds := make([]string, 0, len(w.lost))
	for d := range w.lost {
		ds = append(ds, d)
	}
	return ds
}

// names reports whether the document names the part.
func (s *Snapshot) names(digest string) bool {
	for _, p := range s.head.presets {
		if p.digest == digest {
			return true
		}
	}
	return false
}
