package peerprotocol

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"chalkring/cluster/peerreport"
)

// Client asks one peer once.
type Client struct {
	PeerName, Addr string // its name, as it must call itself, and where it listens
	LocalName      string // the own name
	InstanceID     uint64
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error)
	Credentials    *Credentials // nil for plain TCP
	// OnHeader and Notes take what comes, as it comes; Spend takes the bytes from a budget and may wait. Guards
	// against a report that is too large for what may be spent: it is taken slowly, and in time or not at all.
	OnHeader       func(h peerreport.ReportHeader) error
	OnObservations func(notes []peerreport.Observation) error
	SpendBudget    func(ctx context.Context, bytes int, cpu time.Duration) error
}

// FetchReport asks for a report and returns once it is whole or will not be. Guards against a peer that is unreachable,
// silent, slow, endless, noise, or not the one that was meant: each ends within wholeTime, with what is held
// bounded by one frame.
func (a *Client) FetchReport(ctx context.Context) (how peerreport.Outcome, later time.Duration, err error) {
	ctx, stop := context.WithTimeout(ctx, wholeTime)
	defer stop()
	conn, err := a.connect(ctx)
	if err != nil {
		return peerreport.OutcomeFailed, 0, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := a.send(conn, wantReport); err != nil {
		return peerreport.OutcomeFailed, 0, err
	}
	src, total, sum := bufio.NewReader(conn), 0, summer()
	var room []byte
	used := time.Duration(0) // on what came, told with the next frame
	for open := false; ; {
		conn.SetReadDeadline(time.Now().Add(frameTime))
		var kind byte
		var rest []byte
		if kind, rest, room, err = readFrame(src, room); err != nil {
			return peerreport.OutcomeFailed, 0, err
		}
		if total += len(rest) + 5; total > totalMost {
			return peerreport.OutcomeFailed, 0, fmt.Errorf("%w: over %d bytes", ErrInvalidMessage, totalMost)
		}
		if a.SpendBudget != nil {
			if err = a.SpendBudget(ctx, len(rest)+5, used); err != nil {
				return peerreport.OutcomeFailed, 0, err
			}
		}
		began := time.Now()
		switch {
		case kind == kindLater && !open:
			var ms uint32
			err = decode(rest, &ms)
			return peerreport.OutcomeDeferred, time.Duration(ms) * time.Millisecond, err
		case kind == kindNo && !open:
			return refused(rest)
		case kind == kindHead && !open:
			var h peerreport.ReportHeader
			if h, err = DecodeHeader(rest); err != nil {
				return peerreport.OutcomeFailed, 0, err
			}
			if h.Peer != a.PeerName {
				return peerreport.OutcomeRejected, 0, fmt.Errorf("it calls itself %q, not %q", h.Peer, a.PeerName)
			}
			open = true
			err = a.OnHeader(h)
		case kind == kindNotes && open:
			sum.Write(rest)
			var notes []peerreport.Observation
			if notes, err = DecodeObservations(rest); err == nil {
				err = a.OnObservations(notes)
			}
		case kind == kindEnd && open:
			var told []byte
			if err = decode(rest, &told); err == nil {
				if len(told) != sumBytes || binary.BigEndian.Uint64(told) != sum.Sum64() {
					err = fmt.Errorf("%w: checksum", ErrInvalidMessage)
				}
			}
			if err != nil {
				return peerreport.OutcomeFailed, 0, err
			}
			return peerreport.OutcomeReceived, 0, nil
		default:
			err = fmt.Errorf("%w: frame %q out of turn", ErrInvalidMessage, kind)
		}
		if err != nil {
			return peerreport.OutcomeFailed, 0, err
		}
		used = time.Since(began)
	}
}

// FetchStatus asks a peer how it stands.
func (a *Client) FetchStatus(ctx context.Context) (s Status, err error) {
	ctx, stop := context.WithTimeout(ctx, wholeTime)
	defer stop()
	conn, err := a.connect(ctx)
	if err != nil {
		return s, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err = a.send(conn, wantStatus); err != nil {
		return s, err
	}
	conn.SetReadDeadline(time.Now().Add(frameTime))
	kind, rest, _, err := readFrame(bufio.NewReader(conn), nil)
	switch {
	case err != nil:
		return s, err
	case kind == kindNo:
		_, _, err = refused(rest)
		return s, err
	case kind != kindStatus:
		return s, fmt.Errorf("%w: frame %q", ErrInvalidMessage, kind)
	}
	return s, decode(rest, &s)
}

func refused(rest []byte) (peerreport.Outcome, time.Duration, error) {
	var n no
	if err := decode(rest, &n); err != nil {
		return peerreport.OutcomeFailed, 0, err
	}
	err := fmt.Errorf("refused (%.20s): %.200s", n.Code, n.Words)
	if n.Code == noSelf {
		return peerreport.OutcomeSelf, 0, err
	}
	return peerreport.OutcomeRejected, 0, err
}

// connect dials, and shakes hands where there are keys.
func (a *Client) connect(ctx context.Context) (net.Conn, error) {
	up, stop := context.WithTimeout(ctx, dialTime)
	defer stop()
	conn, err := a.Dial(up, "tcp", a.Addr)
	if err != nil || a.Credentials == nil {
		return conn, err
	}
	conf, err := a.Credentials.client(a.PeerName)
	if err != nil {
		conn.Close()
		return nil, err
	}
	secure := tls.Client(conn, conf)
	shake, stop2 := context.WithTimeout(ctx, helloTime)
	defer stop2()
	if err = secure.HandshakeContext(shake); err != nil {
		conn.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return secure, nil
}

func (a *Client) send(conn net.Conn, want string) error {
	b, err := appendFrame(nil, kindHello, hello{Version: version, Name: a.LocalName, Instance: a.InstanceID, Want: want})
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(frameTime))
	_, err = conn.Write(b)
	return err
}
