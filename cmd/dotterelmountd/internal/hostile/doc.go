// Package hostile has tests of the daemon's process against callers that nobody controls. A
// small crowd of connections sends as much as it can to a process with lowered limits; the
// process must stay alive and within the memory and descriptors of its host, and then answer
// an ordinary request.
package hostile
