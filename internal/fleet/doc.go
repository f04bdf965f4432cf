// Package fleet implements the discovery of the product's own processes where
// entries call endpoints directly. Each process writes one key into the platform's
// store, attached to a lease that it renews, and finds the others in its copy of the
// store.
package fleet
