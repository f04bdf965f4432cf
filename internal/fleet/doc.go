// Package fleet tells the product's own processes of each other where entries
// speak to endpoints directly: each process writes one key into the platform's
// store, attached to a lease that it keeps, and hears of the others through its
// copy of the store.
package fleet
