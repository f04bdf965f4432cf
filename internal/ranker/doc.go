// Package ranker implements the agent process that runs beside a model engine,
// outside the request path. Each agent reports its engine's state and delivers orders
// to it from the engine's own VM, where these calls are free of charge. One agent of
// each group of ranks, elected by a lease in the platform's key-value store, leads
// the group: it changes the group's expert maps and reports the engines' loads to
// entries.
package ranker
