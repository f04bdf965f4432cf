package rank

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// ErrLeaseHeld is returned when another agent holds the group's lease.
var ErrLeaseHeld = eris.New("rank: another agent holds the group's lease")

// ErrLeaseLost is returned when the lease has expired.
var ErrLeaseLost = eris.New("rank: the group's lease has expired")

// ErrRecordChanged is returned by Lease.CAS when it has not written the record,
// because the record has another revision than the given one or, with KVLease,
// the lease has expired.
var ErrRecordChanged = eris.New("rank: the group's record has changed")

// Lease provides the group's lease and record in the platform's key-value
// service.
type Lease interface {
	// Acquire takes the lease. It returns the fencing token, which is greater
	// than that of any earlier holder, and the earliest time at which the lease
	// may expire, on the clock of now. It returns ErrLeaseHeld while another
	// agent holds the lease.
	Acquire(ctx context.Context, now time.Time) (token uint64, until time.Time, err error)
	// Renew extends the lease and returns the earliest time at which it may
	// expire. It returns ErrLeaseLost when the lease has expired.
	Renew(ctx context.Context, now time.Time) (until time.Time, err error)
	// Read returns the group's record and its revision, which is zero if there
	// is no record.
	Read(ctx context.Context) (naming.Record, int64, error)
	// CAS replaces the record if it has the given revision, and returns
	// ErrRecordChanged if it has another. After any other error it is unknown
	// whether the write has taken or will take effect.
	CAS(ctx context.Context, revision int64, r naming.Record) error
}

// writeOutcome converts the error of a CAS to the outcome of the write.
func writeOutcome(err error) naming.WriteOutcome {
	switch {
	case err == nil:
		return naming.Written
	case errors.Is(err, ErrRecordChanged):
		return naming.NotWritten
	default:
		return naming.WriteUnknown
	}
}
