// Package skewtable measures what expert maps do to the step time of a group
// whose expert popularity drifts, without engines: a seeded model gives the
// tokens of each expert in each step, and each way of keeping a map is charged
// with the same steps.
//
// The model: the logarithm of each expert's popularity is a stationary
// Ornstein-Uhlenbeck process, so popularity wanders around its mean and
// forgets where it was within the correlation time. A step draws its tokens
// from the popularity of its moment, with the noise of a multinomial draw. An
// interval's counts are observed when it ends, and a map planned from them is
// in force one interval later, because staging takes time.
//
// The compared ways are a contiguous map that never changes, a full new
// solution each interval, and the package expertmap's plan each interval. The
// bound is expertmap.LowerBound for each step's own tokens. The column floor is
// a full solution that knows the popularity of the step's moment exactly but
// not the draw: what is above it is lag, what is below it is noise that no map
// can foresee.
package skewtable
