package peerprotocol

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"chalkring/cluster/peerreport"
)

// Client requests a report or the status from one peer. It handles one request at a time.
type Client struct {
	PeerName    string // name that the peer must give in its report and its certificate
	Addr        string // where the peer listens
	LocalName   string
	InstanceID  uint64
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	Credentials *Credentials // nil for plain TCP

	// OnHeader and OnObservations are called with the parts of a report as they arrive, on the goroutine that called
	// FetchReport; an error ends the request. FetchStatus does not use them.
	OnHeader       func(header peerreport.ReportHeader) error
	OnObservations func(observations []peerreport.Observation) error

	// SpendBudget charges received bytes and processor time to a budget. It may wait, so a large report is received
	// slowly; the request's timeout still applies. Nil for no budget.
	SpendBudget func(ctx context.Context, bytes int, cpu time.Duration) error
}

// FetchReport requests a report and returns when it is complete, or when the peer has deferred or rejected the request
// or the request has failed. deferral is the wait that the peer asks for with peerreport.OutcomeDeferred. Whatever the
// peer does, the request ends within exchangeTimeout and holds at most one frame in memory.
func (c *Client) FetchReport(ctx context.Context) (outcome peerreport.Outcome, deferral time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return peerreport.OutcomeFailed, 0, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := c.sendRequest(conn, subjectReport); err != nil {
		return peerreport.OutcomeFailed, 0, err
	}
	receiver := &reportReceiver{client: c, conn: conn, source: bufio.NewReader(conn), checksum: newChecksum()}
	result := receiver.receive(ctx)
	return result.outcome, result.deferral, result.err
}

// FetchStatus requests the status of a peer. It returns a RejectedError if the peer rejects the request.
func (c *Client) FetchStatus(ctx context.Context) (status Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return Status{}, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := c.sendRequest(conn, subjectStatus); err != nil {
		return Status{}, err
	}
	conn.SetReadDeadline(time.Now().Add(frameTimeout))
	kind, item, err := readFrame(bufio.NewReader(conn), nil)
	if err != nil {
		return Status{}, err
	}
	switch kind {
	case kindStatus:
		err = decode(item, &status)
		return status, err
	case kindRejection:
		return Status{}, rejectionResult(item).err
	}
	return Status{}, fmt.Errorf("%w: got a frame of kind %q, expected a status or a rejection", ErrInvalidMessage, kind)
}

// connect dials the peer and, if the client has credentials, does the TLS handshake.
func (c *Client) connect(ctx context.Context) (net.Conn, error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, err := c.Dial(dialCtx, "tcp", c.Addr)
	if err != nil || c.Credentials == nil {
		return conn, err
	}
	secured := tls.Client(conn, c.Credentials.clientConfig(c.PeerName))
	handshakeCtx, cancelHandshake := context.WithTimeout(ctx, handshakeTimeout)
	defer cancelHandshake()
	if err := secured.HandshakeContext(handshakeCtx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return secured, nil
}

func (c *Client) sendRequest(conn net.Conn, subject string) error {
	return sendFrame(conn, kindRequest, requestMessage{
		Version: protocolVersion, Name: c.LocalName, Instance: c.InstanceID, Subject: subject,
	})
}

// sendFrame sends one message within frameTimeout.
func sendFrame(conn net.Conn, kind byte, message any) error {
	frame, err := appendFrame(nil, kind, message)
	if err != nil {
		return err
	}
	return writeFrame(conn, frame)
}

func writeFrame(conn net.Conn, frame []byte) error {
	conn.SetWriteDeadline(time.Now().Add(frameTimeout))
	_, err := conn.Write(frame)
	return err
}
