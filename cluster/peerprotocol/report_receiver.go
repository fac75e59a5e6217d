package peerprotocol

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"chalkring/cluster/peerreport"
)

// pollResult is how a request for a report ended.
type pollResult struct {
	outcome  peerreport.Outcome
	deferral time.Duration // with peerreport.OutcomeDeferred
	err      error
}

func failedResult(err error) *pollResult {
	return &pollResult{outcome: peerreport.OutcomeFailed, err: err}
}

// rejectionResult is the result of a kindRejection frame.
func rejectionResult(item []byte) *pollResult {
	var message rejectionMessage
	if err := decode(item, &message); err != nil {
		return failedResult(err)
	}
	outcome := peerreport.OutcomeRejected
	if message.Code == rejectedSelf {
		outcome = peerreport.OutcomeSelf
	}
	return &pollResult{outcome: outcome, err: &RejectedError{Code: message.Code, Text: message.Text}}
}

// reportReceiver receives the response to a request for a report.
type reportReceiver struct {
	client         *Client
	conn           net.Conn
	source         *bufio.Reader
	checksum       checksum
	receivedBytes  int
	headerReceived bool
}

// receive reads frames until one ends the response.
func (r *reportReceiver) receive(ctx context.Context) *pollResult {
	var item []byte
	processing := time.Duration(0) // time spent on the previous frame, charged to the budget with the next one
	for {
		r.conn.SetReadDeadline(time.Now().Add(frameTimeout))
		var kind byte
		var err error
		if kind, item, err = readFrame(r.source, item); err != nil {
			return failedResult(err)
		}
		if err := r.account(ctx, frameHeaderBytes+len(item), processing); err != nil {
			return failedResult(err)
		}
		startedAt := time.Now()
		if result := r.handleFrame(kind, item); result != nil {
			return result
		}
		processing = time.Since(startedAt)
	}
}

// account counts the bytes of a frame towards the maximum size of a response, and charges them and the processing time to
// the client's budget.
func (r *reportReceiver) account(ctx context.Context, bytes int, processing time.Duration) error {
	r.receivedBytes += bytes
	if r.receivedBytes > maxResponseBytes {
		return fmt.Errorf("%w: response of more than %d bytes", ErrInvalidMessage, maxResponseBytes)
	}
	if r.client.SpendBudget == nil {
		return nil
	}
	return r.client.SpendBudget(ctx, bytes, processing)
}

// handleFrame handles one frame. It returns the result if the frame ends the response, else nil.
func (r *reportReceiver) handleFrame(kind byte, item []byte) *pollResult {
	if r.headerReceived {
		return r.handleReportFrame(kind, item)
	}
	switch kind {
	case kindDeferral:
		var ms uint32
		err := decode(item, &ms)
		return &pollResult{outcome: peerreport.OutcomeDeferred, deferral: time.Duration(ms) * time.Millisecond, err: err}
	case kindRejection:
		return rejectionResult(item)
	case kindHeader:
		return r.handleHeader(item)
	}
	return unexpectedFrame(kind)
}

func (r *reportReceiver) handleHeader(item []byte) *pollResult {
	header, err := DecodeHeader(item)
	if err != nil {
		return failedResult(err)
	}
	if header.Peer != r.client.PeerName {
		return &pollResult{
			outcome: peerreport.OutcomeRejected,
			err:     &WrongPeerError{Got: header.Peer, Want: r.client.PeerName},
		}
	}
	r.headerReceived = true
	if err := r.client.OnHeader(header); err != nil {
		return failedResult(err)
	}
	return nil
}

// handleReportFrame handles a frame that follows a report's header.
func (r *reportReceiver) handleReportFrame(kind byte, item []byte) *pollResult {
	switch kind {
	case kindObservations:
		r.checksum.add(item)
		observations, err := DecodeObservations(item)
		if err == nil {
			err = r.client.OnObservations(observations)
		}
		if err != nil {
			return failedResult(err)
		}
		return nil
	case kindEnd:
		if err := r.checksum.verify(item); err != nil {
			return failedResult(err)
		}
		return &pollResult{outcome: peerreport.OutcomeReceived}
	}
	return unexpectedFrame(kind)
}

func unexpectedFrame(kind byte) *pollResult {
	return failedResult(fmt.Errorf("%w: frame of kind %q is not expected at this point of the response", ErrInvalidMessage, kind))
}
