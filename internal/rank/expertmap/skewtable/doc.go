// Package skewtable simulates the step-time skew of expert maps for a group
// whose expert popularity drifts. It needs no engines: a seeded model generates
// the tokens of each expert in each step, and all strategies are evaluated on
// the same steps.
//
// In the model, the logarithm of each expert's popularity is a stationary
// Ornstein-Uhlenbeck process, so the popularity fluctuates around its mean and
// its autocorrelation decays to 1/e within the correlation time. The tokens of
// a step are sampled from the current popularity, with the noise of a
// multinomial distribution. The counts given to the planner are those of the
// last quarter of an interval. A map planned from them takes effect after a
// quarter of an interval, which stands for the messages, plus the time to load
// its weights at the rate of the weight store. The solution from scratch gets
// an advantage: it takes effect after one interval, although its moves would
// take much longer to load.
//
// The strategies are a contiguous map that never changes (static), a new
// solution from scratch in each interval (column full), and a plan of package
// expertmap in each interval (planned). The bound is expertmap.LowerBound for
// the sampled tokens of each step, which are not known when the map is chosen.
// The column known is a layer optimized for the exact popularity that a step is
// sampled from, without move costs. The difference between planned and known is
// due to the age of the counts and to the avoided moves; the difference between
// known and bound is due to sampling noise.
package skewtable
