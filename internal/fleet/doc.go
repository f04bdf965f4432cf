// Package fleet lets the product's own processes discover each other in deployments
// where entries call endpoints directly. Each process writes one key into the
// platform's store, which is its key-value service, attached to a lease that the
// process renews. It finds the other processes in its copy of the store.
package fleet
