// Package concurrency adapts the batch limit of a group of engines that run in lockstep to the
// pauses that are observed between the events of its streams.
//
// One event is one pass of the group. A pass takes the engine's steps without decoding requests and
// the work for requests, which the busiest rank stretches. Changes in expert popularity raise the
// stretch every few seconds for some passes. A Limit estimates the stretch of these passes and allows
// as many requests for each engine as keep such a pass within the pause that callers tolerate.
//
// The package opens no sockets, starts no goroutines and reads no clock: each method that decides
// takes the present time as an argument. A Limit is not safe for concurrent use.
package concurrency
