// Package quarantine decides which parts of prompts are refused because endpoints end under the
// requests that contain them.
//
// An endpoint that ends has several requests, and most are innocent. What they have in common tells
// them apart: an answer that begins clears all parts of its prompt, so the parts that remain are
// those of requests whose answers never begin. A part under which several endpoints have ended since
// it was last answered is refused.
//
// No entry sees more than its share of the ends. A Case holds all that is known against one part,
// and cases that entries exchange in any order, and any number of times, merge to the same result.
//
// Nothing here uses sockets or reads clocks.
package quarantine
