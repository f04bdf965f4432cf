// Package settings reads the settings of a process: an INI file, and flags of
// the command line that win over it.
//
// Each key of the file has a flag. Keys of the section [process] have their
// own name ("--callerAddress"), the others the section's before it
// ("--tls.cert"). The operator token alone has none, because command lines
// are open to every user of a VM; a file is named instead.
//
// Addresses are IP:port; names are not resolved. All faults are reported at
// once, each with a result code of the group 5. Settings hold for the life of
// a process; only the operator token and the certificates are read anew while
// it runs, by Token and KeyPair.
package settings
