// Package ingress decides how the clients of a coordinator share its processor and its memory, so that some clients cannot
// take either from the others or from the event loop. It judges by what each client has sent, and bounds the sum over all
// connections. It does no I/O and reads no clock: times are handed in, as spans since any fixed moment. Its types are not
// safe for concurrent use.
package ingress
