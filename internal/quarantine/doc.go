// Package quarantine decides which requests are refused because endpoints end under them: those with
// certain parts in their prompts, and those for the same work as others.
//
// An endpoint that ends has several requests, and most are innocent. What they have in common tells
// them apart: an answer that begins clears all parts of its prompt, so the parts that remain are
// those of requests whose answers never begin. A part under which several endpoints have ended since
// it was last answered is refused.
//
// A whole request, by its fingerprint, is refused for the ends under it alone, and cleared by a whole
// answer. Rules say what differs between the two.
//
// No entry sees more than its share of the ends. A Case holds all that is known against one subject,
// and cases that entries exchange in any order, and any number of times, merge to the same result.
//
// Nothing here uses sockets or reads clocks.
package quarantine
