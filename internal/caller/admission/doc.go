// Package admission decides which requests an entry starts, queues or refuses.
//
// A Controller keeps the limits of each account, and a queue and the measured
// drain rate of each route; one bound applies to the total length of all queues.
// It opens no sockets, starts no goroutines and reads no clock: each method that
// decides takes the present time as an argument, and a Placer assigns free slots
// at endpoints. A Controller is not safe for concurrent use; its owner holds a
// lock around each call.
//
// Units: worth is in a unit chosen by the operators, work is in seconds of
// expected running time, and rates are in requests per second. Value density is
// worth divided by expected running time. Densities within a quarter of an
// octave count as equal, so that fair share rather than noise decides between
// similar requests.
//
// Classes: requests of a route have priority classes, which hold across accounts.
// The most urgent class with waiting requests goes first, and a tenth of the work
// goes to the classes below it, split evenly. A full queue displaces the least
// urgent requests. Waits are estimated from the drain rate of the request's class
// and the more urgent ones. ConfigureRoutes divides the queue between services.
//
// Queue order within a class: a fraction of the running time (FairFraction) goes to the
// account that has received the least work for its weight, by start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996). The rest goes to the highest
// value density, with ties broken by the same fair-queueing order. The fair
// fraction keeps a large account or one of high worth from starving the others;
// the rest maximizes the worth served when capacity does not suffice for all
// requests.
//
// ShareLender and ShareHolder divide one account's limit over the entries of a
// data centre. RetryBudget prevents retries from amplifying an overload.
package admission
