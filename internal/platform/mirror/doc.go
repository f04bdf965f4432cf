// Package mirror keeps a process's copy of the keys under one prefix of the
// platform's key-value service.
//
// It reads all keys once and then asks for changes by polls that wait at the
// service. Each answer carries when it was asked for, which is the newest
// moment of which the process can be sure to know every change: a poll that
// hears nothing may be deaf.
package mirror
