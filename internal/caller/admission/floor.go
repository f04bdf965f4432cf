package admission

import (
	"math"
	"math/bits"
	"time"
)

// floorFraction is the fraction of the work that goes to the classes below the
// most urgent one that waits. It keeps less urgent classes from starving, and
// costs the most urgent class at most a ninth more time to drain.
const floorFraction = 0.1

// floorClass returns the class whose turn it is by the floor, or nil if the most
// urgent class goes next.
func (r *route) floorClass() *classQueue {
	if r.floorCredit <= 0 {
		return nil
	}
	var next *classQueue
	below := r.waitingClasses & (r.waitingClasses - 1) // without the most urgent class
	for ; below != 0; below &= below - 1 {
		q := r.classes[bits.TrailingZeros32(below)]
		if next == nil || q.floorTime < next.floorTime {
			next = q
		}
	}
	return next
}

// chargeFloor accounts for the start of a request of the class q, which counts as
// waiting even if it did not wait.
//
// The credit grows with all work that starts while several classes wait. It
// exceeds the work of a start of the most urgent class only while no slot is
// assigned to the classes that it is due to, and is limited then, so that they do
// not take all slots afterwards.
func (r *route) chargeFloor(q *classQueue, work float64) {
	waiting := r.waitingClasses | 1<<q.number
	if waiting&(waiting-1) == 0 {
		return
	}
	r.floorCredit += floorFraction * work
	if bits.TrailingZeros32(waiting) == q.number {
		r.floorCredit = math.Min(r.floorCredit, work)
		// The class has no claim to the floor from the time before a more urgent one waits.
		q.floorTime = math.Max(q.floorTime, r.floorTime)
		return
	}
	r.floorCredit -= work
	r.floorTime = math.Max(r.floorTime, q.floorTime)
	q.floorTime += work
}

// floorWait estimates how long a new request of the class q waits if its class
// gets no more than its floor. The next request of the class is left out of the
// estimate, so that a class without waiting requests is not refused for work in
// more urgent ones.
func (r *route) floorWait(q *classQueue) time.Duration {
	rate := r.drain.rate(MaxClass, r.running)
	if q.waiting == 0 || rate <= 0 {
		return 0
	}
	below := bits.OnesCount32(r.waitingClasses|1<<q.number) - 1
	work := q.work * (1 - 1/float64(q.waiting))
	return toDuration(work * float64(below) / (floorFraction * rate))
}
