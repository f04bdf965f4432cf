// Package skewtable measures what expert maps do to the step time of a group
// whose expert popularity drifts, without engines: a seeded model gives the
// tokens of each expert in each step, and each way of keeping a map is charged
// with the same steps.
//
// The model: the logarithm of each expert's popularity is a stationary
// Ornstein-Uhlenbeck process, so popularity wanders around its mean and
// forgets where it was within the correlation time. A step draws its tokens
// from the popularity of its moment, with the noise of a multinomial draw. An
// interval's last quarter is counted. A map planned from the counts takes
// force after a quarter of an interval, in which messages go round, and after
// the weights have been loaded at the weight store's rate. The full solution is
// let off: it is in force an interval later, although its moves would take much
// longer to load.
//
// The compared ways are a contiguous map that never changes, a full new
// solution each interval, and the package expertmap's plan each interval. The
// bound is expertmap.LowerBound for each step's own tokens, which no map that is
// chosen before the step can know. The column known is a layer made for the very
// popularity that a step is drawn from, with nothing to save: what a plan has
// above it is lag and thrift, what it has above the bound is the draw.
package skewtable
