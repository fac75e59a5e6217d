package coordinator

import (
	"net"

	"chalkring/opensearch/query"
)

// wireProtocol is the codec between the event loop and a kind of host: how attempts are sent and canceled, and what an
// answer means. Nothing else depends on the kind of host: not which replica gets a shard request, when an attempt is given
// up, or what the attempt's end means. All methods except readAnswers run on the event loop's goroutine.
type wireProtocol interface {
	// attemptsPerBatch returns how many attempts may be sent in one message.
	attemptsPerBatch(loop *eventLoop) int
	// batchesPerConnection returns how many batches may be in flight on a connection.
	batchesPerConnection(loop *eventLoop) int
	// allowsWaiting says whether more batches than that may wait on a connection when no other can be opened.
	allowsWaiting() bool
	// allowsRepeatedNames says whether further attempts of a shard request, which all have its name, may be sent on a
	// connection that had one.
	allowsRepeatedNames() bool
	// appendBatch appends the message of a batch.
	appendBatch(loop *eventLoop, dst []byte, batch *batch) []byte
	// cancelAttempt cancels an attempt whose message may have been written.
	cancelAttempt(conn *replicaConnection, attempt *attempt)
	// readAnswers reads answers until the connection ends, and returns why it ended. It runs on the connection's reading
	// goroutine and submits what it has read to the event loop.
	readAnswers(loop *eventLoop, connection *replicaConnection, conn net.Conn) error
}

// HostKind is a kind of host that speaks the OpenSearch-style API. Its documents are in Index. If Placement is set, the
// documents are placed in blocks by the API's rule.
type HostKind struct {
	Index     string
	Placement *query.Placement
}
