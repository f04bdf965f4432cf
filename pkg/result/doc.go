// Package result defines the numbered result codes that hyssoprelay gives to
// callers, to operators and between its own processes.
//
// Each code states its Effect: whether the request that it answers was run at
// an endpoint. A code with the effect NotRun is a promise: the request never
// left for an endpoint, so the caller may send it again. It may only be
// produced by a process that knows this; everything else is Unknown.
//
// Codes are grouped by thousands: 1 caller input, 2 refusals under load or
// change, 3 failures after dispatch, 4 operator orders, 5 process settings, 6
// messages between processes. docs/RESULTCODES.md holds the same table and a
// test keeps both equal.
package result
