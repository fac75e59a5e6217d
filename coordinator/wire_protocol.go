package coordinator

import (
	"net"

	"chalkring/opensearch/query"
)

// wireProtocol is the codec between the event loop and a kind of host: how attempts travel, how they are canceled, and
// what an answer means. It is the only place that differs between kinds; which replica gets a shard request, when an
// attempt is given up and what its end means do not depend on it. All methods but readAnswers run on the event loop's
// goroutine.
type wireProtocol interface {
	attemptsPerBatch(o *eventLoop) int     // parts that travel together
	batchesPerConnection(o *eventLoop) int // calls on one connection at once
	allowsWaiting() bool                   // a call beyond that may wait on a connection
	appendBatch(o *eventLoop, dst []byte, c *batch) []byte
	cancelAttempt(l *replicaConnection, sub *attempt) // what is written already
	readAnswers(o *eventLoop, l *replicaConnection, conn net.Conn) error
}

// HostKind is a kind of host that speaks the OpenSearch-style API. Its members are in Index, placed in blocks by the
// API's rule where Placement is set.
type HostKind struct {
	Index     string
	Placement *query.Placement
}
