package claim

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// bucketLease is the lease that the closed records of one time bucket share.
// One lease per record would cost a write for each record; one lease per bucket
// costs an agent eight writes in the retention time, with the default
// BucketDuration. The lease is never kept alive, so a paused holder can't make
// it expire early.
type bucketLease struct {
	id        platform.LeaseID
	grantedAt time.Time
}

// leaseFor returns the lease for a batch, or zero if the batch needs none. It
// grants a new lease when the bucket has ended.
func (l *bucketLease) leaseFor(ctx context.Context, b *Batcher, batch []*op) (platform.LeaseID, error) {
	needed := false
	for _, o := range batch {
		needed = needed || needsLease(o.mutation)
	}
	if !needed {
		return 0, nil
	}
	now := b.Now()
	if l.id != 0 && now.Sub(l.grantedAt) < b.BucketDuration {
		return l.id, nil
	}
	id, err := b.KV.Grant(ctx, b.Retention+b.BucketDuration)
	if err != nil {
		return 0, err
	}
	*l = bucketLease{id: id, grantedAt: now}
	return id, nil
}
