// Package engine is a stand-in for a model engine. It speaks the chat
// completions API, as JSON and as a stream of server-sent events, with tokens
// that follow from the request id alone, so that a test can tell a whole and
// right answer from any other. It slows down above its capacity, falls over
// above its cold bound while cold, and has the further calls of an engine:
// resume, cancel, load report with lag, cache events with gaps, orders with a
// fencing check that can be switched off, and a rank that advances in steps.
// Faults are switched over HTTP under /control/ or by methods.
package engine
