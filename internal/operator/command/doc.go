// Package command is the command line of hyssoprelay: the roles entry and
// agent, and the orders of operators.
//
// Exit codes are 0 when the command is done, 1 when it was refused or failed,
// with the numbered result code printed, and 2 for a command line that can't
// be read.
//
// Orders go to the first of the given admin addresses that answers. When an
// answer is lost on the way, the same order goes to the next address under the
// same change id, so it takes effect once. What is printed then is true of all
// addresses that were asked: when one of them may have made the change and
// none confirms it, the outcome is unknown and the change id is printed, by
// which the order can be given again.
package command
