// Package measure drives the deciding packages with generated arrivals and
// tabulates the outcome for callers.
//
// It runs the admission.Controller and placement.Balancer that an entry runs,
// over a simulated time without sockets, against endpoints that are described
// by a few lines: running times grow with concurrency, throughput collapses
// beyond capacity, and a cold endpoint that gets more than it bears falls over.
// All draws are seeded, so a table is the same on each run.
//
// The naive way that it compares with queues first-in first-out without a
// bound, places by the reported load alone, lets callers return at once after
// a failure and neither cancels nor refuses work that is too late.
package measure
