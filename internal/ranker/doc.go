// Package ranker is the process of an agent that stands beside a model engine
// and is not on the way of requests. Each agent reports its engine's state and
// hands it orders, both from the engine's own VM, where they cost nothing; one
// agent of a group of ranks, by a lease in the platform's store, leads the
// group's expert maps and tells entries how much work the engines have.
package ranker
