// Package rank gives orders to a group of ranks: it brings expert maps into
// force so that all ranks of the group use one and the same map in each step.
//
// The agent beside each endpoint of a group starts a Runner and registers it
// with its gRPC server. What decides lies in the packages below: expertmap plans
// maps from the popularity of experts, and naming brings a map into force. This
// package carries their messages between the agents, to the engine and to the
// platform's key-value service, and says when it is time to plan.
package rank
