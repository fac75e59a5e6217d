package coordinator

import (
	"net"

	"chalkring/opensearch/query"
)

// wireProtocol is what a kind of host speaks. It is the one place that differs from kind to kind: which replica gets a part,
// when it is given up and what its end means are the same for all.
type wireProtocol interface {
	attemptsPerBatch(o *eventLoop) int     // parts that travel together
	batchesPerConnection(o *eventLoop) int // calls on one connection at once
	allowsWaiting() bool                   // a call beyond that may wait on a connection
	appendBatch(o *eventLoop, dst []byte, c *batch) []byte
	cancelAttempt(l *replicaConnection, sub *attempt) // what is written already
	readAnswers(o *eventLoop, l *replicaConnection, conn net.Conn) error
}

// HostKind is a kind of host, by the list's kind, that speaks the OpenSearch-style API; its members are in Index, in
// blocks by the API's rule where Placed says so.
type HostKind struct {
	Index     string
	Placement *query.Placement
}
