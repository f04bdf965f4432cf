// Package preset reads presets: what operators write for ordinary days, for
// peaks and for maintenance. Exactly one preset is in force at any time.
//
// A preset is an INI document with these sections:
//
//	[preset]           name, note, queueLength, retryBudgetPercent
//	[dataCentre NAME]  note
//	[account NAME]     keyHash, ratePerSecond, burst, concurrency, weight, worth
//	[model NAME]       endpoints, coldStartConcurrency, concurrency, rampStep,
//	                   rampCompletions, defaultDeadline, maxOutputTokens
//	[service NAME]     endpoints, repeatable, path, coldStartConcurrency,
//	                   concurrency, rampStep, rampCompletions, defaultDeadline
//	[priority NAME]    value, worth
//
// Rates are requests a second over all entries, concurrencies of a model or
// service are requests at once at one endpoint, and concurrencies of an
// account are requests at once over all entries. Worth and weight have no
// unit: worth multiplies (account by priority) and orders the queue, weight
// divides capacity among accounts of equal worth.
//
// A preset holds no secret. An account's key stands in it as the SHA-256 of
// the key, so a preset may be shown, logged and kept where the key may not.
//
// Parse reports all faults of a document at once and never returns a preset
// together with faults.
package preset
