// Package api defines the core types shared by all modules: identifiers,
// versions, outcomes, the plan list, the usage list, configuration records and
// typed errors. It does no I/O, reads no clock and encodes no messages.
package api
