// Package inifile reads the INI documents of hyssoprelay, presets and process
// settings, strictly: every line that can't be read, every repeated, unknown
// or missing key and every value out of its range becomes a Fault, and all
// faults of a document are reported at once.
//
// A document is a list of sections. A section's header holds its kind and,
// for the kinds that may stand several times, its name: "[account sales]" has
// the kind "account" and the name "sales". Keys are in camel case. A value is
// one line; lists are separated by commas; durations are written as in
// time.ParseDuration ("250ms", "3s"). Comments begin with # or ; at the start
// of a line, or after a value and a space.
//
// gopkg.in/ini.v1 reads one line at a time here, because it would otherwise
// stop at the first line that it can't read, merge repeated sections and
// forget line numbers. Interpolation, continuation lines and inherited
// sections are not part of the format.
package inifile
