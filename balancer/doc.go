// Package balancer makes the decisions of one coordinator: which searches wait and which are admitted, how many shard
// requests of a search are sent, which replica gets each of them, which are retried or hedged, and when the search is
// answered, shed or failed.
//
// It is a state machine without I/O. A protocol creates one with New, reports events through the Balancer interface and
// carries out the requested Actions. Nothing happens outside those calls, and the same calls with the same seed give
// the same actions. All times are tenths of a millisecond.
//
// The design follows the TOFEC paper; docs/design.md lists each departure from it and the condition under which it
// applies.
package balancer
