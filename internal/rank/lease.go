package rank

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// ErrLeaseHeld is returned when another agent leads the group.
var ErrLeaseHeld = eris.New("rank: another agent holds the group's lease")

// ErrLeaseLost is returned when the lease has lapsed.
var ErrLeaseLost = eris.New("rank: the group's lease has lapsed")

// ErrRecordChanged is returned by Lease.CAS when the record is another one.
var ErrRecordChanged = eris.New("rank: the group's record has changed")

// Lease is the group's lease and record in the platform's key-value service.
type Lease interface {
	// Acquire takes the lease and returns its fencing token, which is greater
	// than that of any holder before, and until when it holds at least, on
	// the clock of now. It returns ErrLeaseHeld while another agent holds it.
	Acquire(ctx context.Context, now time.Time) (token uint64, until time.Time, err error)
	// Renew extends the lease. It returns ErrLeaseLost when it has lapsed.
	Renew(ctx context.Context, now time.Time) (until time.Time, err error)
	// Read returns the group's record and its revision, zero for none.
	Read(ctx context.Context) (naming.Record, int64, error)
	// CAS replaces the record of the given revision. It returns
	// ErrRecordChanged when the record has another; any other error leaves
	// open whether the write has taken or will take effect.
	CAS(ctx context.Context, revision int64, r naming.Record) error
}

// outcomeOf returns what the error of a CAS says.
func outcomeOf(err error) naming.WriteOutcome {
	switch {
	case err == nil:
		return naming.Written
	case errors.Is(err, ErrRecordChanged):
		return naming.NotWritten
	default:
		return naming.WriteUnknown
	}
}
