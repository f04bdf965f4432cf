// Package rank switches a group of ranks between expert maps so that all ranks
// of the group use the same map in each step.
//
// The agent of each endpoint of a group starts a Runner and registers it with
// its gRPC server. The decisions are made by subpackages: expertmap plans maps
// from the popularity of experts, and naming runs the protocol that puts a map
// in force. This package carries their messages between the agents, to the
// engine and to the platform's key-value service, and schedules the planning.
package rank
