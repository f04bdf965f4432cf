// Package relay passes callers' requests on to endpoints directly, where no
// agent stands on the way.
//
// What an agent would enforce has other holders here. That a request runs at
// most once: it is never sent again after a byte of it may have reached an
// endpoint, unless that endpoint said that it did not run it. That a cold
// endpoint bears its load: each entry takes its share of what the endpoint
// bears from all. That an endpoint which is leaving, or has been taken out, gets
// nothing new: the directory, which follows the platform's store. That a key
// taken away is refused: the age of what this process knows, by a clock that
// goes on while the VM is suspended.
//
// What decides (NextStep, Shares, Freshness) is free of sockets and clocks.
package relay
