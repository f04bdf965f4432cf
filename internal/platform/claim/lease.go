package claim

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// bucketLease is the lease that the closed records of one time bucket share.
// One lease a record would cost a write each; one a bucket costs eight writes
// an agent in the retention time. Nobody keeps it alive, so no pause of a
// holder can end it early.
type bucketLease struct {
	id    platform.LeaseID
	since time.Time
}

// get returns the lease for a batch, zero when it needs none.
func (l *bucketLease) get(ctx context.Context, b *Batcher, batch []*op) (platform.LeaseID, error) {
	needed := false
	for _, o := range batch {
		needed = needed || needsLease(o.step)
	}
	if !needed {
		return 0, nil
	}
	now := b.Now()
	if l.id != 0 && now.Sub(l.since) < b.Bucket {
		return l.id, nil
	}
	id, err := b.KV.Grant(ctx, b.Retention+b.Bucket)
	if err != nil {
		return 0, err
	}
	*l = bucketLease{id: id, since: now}
	return id, nil
}
