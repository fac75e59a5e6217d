package replication

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/internal/scheduler"
)

// Topic distinguishes the messages of this package from others on the transport.
const Topic = 2

// sendTimeout limits the sending of one message.
const sendTimeout = 2 * time.Second

// Transport sends messages to other instances; package gossip implements it.
type Transport interface {
	Send(ctx context.Context, to string, topic byte, body []byte) error
	// Handle registers the receiver of a topic's messages. receive must not block.
	Handle(topic byte, receive func(from string, body []byte))
}

// Kinds of messages. The kind is the first byte of a body; a CBOR item follows.
const (
	kindRequest  byte = 1 + iota // crdt.ExchangeRequest
	kindResponse                 // crdt.ExchangeResponse
	kindUpdate                   // stateMessage with fresh changes; receivers forward those that are new to them
	kindRepair                   // stateMessage with what the receiver lacked in an exchange
)

// stateMessage carries states of names.
type stateMessage struct {
	_     struct{} `cbor:",toarray"`
	Actor string   // of the sender
	Batch crdt.Batch
}

func encodeMessage(kind byte, content any) ([]byte, error) {
	body, err := cbor.Marshal(content)
	return append([]byte{kind}, body...), err
}

// sendMessage sends a message within the job's byte budget. It returns the number of bytes sent.
func (r *Replicator) sendMessage(ctx context.Context, allowance *scheduler.Allowance, to string, kind byte, content any) (int, error) {
	body, err := encodeMessage(kind, content)
	if err != nil {
		return 0, err
	}
	if err := allowance.Spend(ctx, len(body), 0); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return len(body), r.options.Transport.Send(ctx, to, Topic, body)
}

// sendExchangeMessage sends a message of an exchange and counts its bytes.
func (r *Replicator) sendExchangeMessage(ctx context.Context, allowance *scheduler.Allowance, to string, kind byte, content any) error {
	sent, err := r.sendMessage(ctx, allowance, to, kind, content)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.ExchangeBytesSent += uint64(sent)
	return err
}

var errUnknownKind = errors.New("unknown message kind")

// handleMessage handles a received message. Until the replicator is ready all messages are dropped, since without the state
// on disk this replica knows less than it sent to other instances before the restart.
func (r *Replicator) handleMessage(from string, body []byte) {
	if !r.isReady() || len(body) == 0 {
		return
	}
	var err error
	switch kind, content := body[0], body[1:]; kind {
	case kindRequest:
		err = r.handleRequest(from, content)
	case kindResponse:
		err = r.handleResponse(content)
	case kindUpdate, kindRepair:
		err = r.handleStates(from, content, kind == kindUpdate)
	default:
		err = errUnknownKind
	}
	if err != nil {
		r.logFailure(eventMessage, "peer", from, &InvalidMessageError{from, err})
	}
}

// handleStates merges the states of a message. A message whose actor is not the sender's is ignored.
func (r *Replicator) handleStates(from string, content []byte, isUpdate bool) error {
	var message stateMessage
	if err := cbor.Unmarshal(content, &message); err != nil || crdt.ActorInstance(message.Actor) != from {
		return err
	}
	return r.applyStates(message, isUpdate)
}

// applyStates merges the states of a message, and forwards what changed here if it is an update.
func (r *Replicator) applyStates(message stateMessage, isUpdate bool) error {
	r.mu.Lock()
	changed, err := r.state.MergeBatch(message.Actor, message.Batch)
	r.recordChanges(changed)
	if isUpdate && len(changed) > 0 {
		r.queueUpdates(changed)
	}
	r.mu.Unlock()
	if r.handleSuperseded(err) {
		return nil
	}
	return err
}
