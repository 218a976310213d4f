// Package api holds the core types that every other module shares: identifiers,
// versions, outcomes, the plan list, the usage list, the configuration records
// and the typed errors. It does no I/O, reads no clock and encodes no message.
package api
