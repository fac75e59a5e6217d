package peerprotocol

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"chalkring/cluster/peerreport"
	"chalkring/internal/guard"
)

const (
	// maxConnections bounds the clients connected at once; further ones wait in the operating system's backlog.
	maxConnections = 32
	// connectionsPerSecond limits the rate of accepted connections, after a burst of maxConnections. It keeps a client
	// that connects in a loop from taking processor time from searches; other clients wait a little meanwhile.
	connectionsPerSecond = 40
	// acceptRetryDelay is the wait after a failed accept, for instance when file descriptors have run out.
	acceptRetryDelay = 100 * time.Millisecond
	// failedReportDeferral is the wait sent to a client when building the report has failed.
	failedReportDeferral = time.Second
	// maxDeferral bounds the wait sent to a client.
	maxDeferral = time.Hour
	// requestBufferBytes is the size of the read buffer of a connection, on which one small request arrives.
	requestBufferBytes = 512
)

// Server answers the requests of peers. The functions in its fields are called concurrently, on the goroutines of the
// connections, and may block.
type Server struct {
	Name         string
	InstanceID   uint64
	AllowedNames []string     // of peers that are answered
	Credentials  *Credentials // nil for plain TCP, where clients' names are not verified

	// Admit reports whether a client is sent a report now. If not, deferral is the wait after which the client should ask
	// again. Release is called once for each admission, when the report has been sent or has failed.
	Admit   func(name string) (admitted bool, deferral time.Duration)
	Release func()

	BuildReport func(ctx context.Context) (peerreport.ReportHeader, []peerreport.Observation, error)
	BuildStatus func(ctx context.Context) (Status, error)

	// SpendBudget charges the bytes of a report and the processor time used for it to a budget. It may wait. Nil for no
	// budget.
	SpendBudget func(ctx context.Context, bytes int, cpu time.Duration) error

	// OnRejected is called with the reason why a client's TLS handshake failed, its request could not be read or was
	// rejected, or its report could not be encoded. Unknown clients can cause as many calls as they like, so a log line
	// written here should be rate limited.
	OnRejected func(addr, reason string)
}

// Serve answers requests until ctx ends or the listener is closed. It returns nil after all its goroutines
// have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	group.Go(func() error {
		s.acceptConnections(ctx, listener, group)
		return nil
	})
	return group.Wait()
}

func (s *Server) acceptConnections(ctx context.Context, listener net.Listener, group *errgroup.Group) {
	slots := make(chan struct{}, maxConnections)
	limiter := rate.NewLimiter(connectionsPerSecond, maxConnections)
	for {
		if limiter.Wait(ctx) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			<-slots
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		group.Go(func() error {
			defer func() { <-slots }()
			if err := guard.Run(func() error { s.serveConn(ctx, conn); return nil }); err != nil {
				s.OnRejected(conn.RemoteAddr().String(), err.Error())
			}
			return nil
		})
	}
}

// serveConn answers the request of one client.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	clientAddr := conn.RemoteAddr().String()
	secured, certifiedNames, err := s.secure(ctx, conn)
	if err != nil {
		s.OnRejected(clientAddr, "TLS handshake: "+err.Error())
		return
	}
	request, rejection, err := s.readRequest(secured, certifiedNames)
	if err != nil {
		s.OnRejected(clientAddr, err.Error())
		return
	}
	conn.SetDeadline(time.Time{})
	if rejection != nil && rejection.Code != rejectedSelf {
		s.OnRejected(clientAddr, rejection.Text)
	}
	// Errors from here on are not reported: in most cases the client has left or is too slow, and it notices the failure
	// itself.
	if rejection != nil {
		_ = sendRejection(secured, rejection)
		return
	}
	_ = s.respond(ctx, secured, request)
}

// secure does the TLS handshake if the server has credentials, and returns the names in the client's certificate.
func (s *Server) secure(ctx context.Context, conn net.Conn) (secured net.Conn, certifiedNames []string, err error) {
	if s.Credentials == nil {
		return conn, nil, nil
	}
	tlsConn := tls.Server(conn, s.Credentials.serverConfig())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	return tlsConn, certifiedNamesOf(tlsConn.ConnectionState()), nil
}

// readRequest reads and checks a client's request. rejection is nil if there is no reason to reject it. An error means
// that reading has failed, so that the client cannot be answered.
func (s *Server) readRequest(conn net.Conn, certifiedNames []string) (request requestMessage, rejection *rejectionMessage, err error) {
	kind, item, err := readFrame(bufio.NewReaderSize(conn, requestBufferBytes), nil)
	if err == nil && kind == kindRequest {
		err = decode(item, &request)
	}
	switch {
	case err != nil && !errors.Is(err, ErrInvalidMessage):
		return request, nil, err
	case err != nil:
		rejection = &rejectionMessage{Code: rejectedUnusable, Text: err.Error()}
	case kind != kindRequest:
		rejection = &rejectionMessage{Code: rejectedUnusable, Text: textNoRequest}
	case request.Version != protocolVersion:
		rejection = &rejectionMessage{Code: rejectedVersion, Text: textOtherVersion}
	case !slices.Contains(s.AllowedNames, request.Name):
		rejection = &rejectionMessage{Code: rejectedName, Text: textUnknownName}
	case s.Credentials != nil && !slices.Contains(certifiedNames, request.Name):
		rejection = &rejectionMessage{Code: rejectedName, Text: textOtherCertificate}
	case request.Instance == s.InstanceID && request.Subject == subjectReport:
		rejection = &rejectionMessage{Code: rejectedSelf, Text: textOwnInstance}
	}
	return request, rejection, nil
}

func sendRejection(conn net.Conn, rejection *rejectionMessage) error {
	text := rejection.Text[:min(len(rejection.Text), maxRejectionText)]
	return sendFrame(conn, kindRejection, rejectionMessage{Code: rejection.Code, Text: text})
}

func sendDeferral(conn net.Conn, deferral time.Duration) error {
	return sendFrame(conn, kindDeferral, uint32(min(deferral, maxDeferral).Milliseconds()))
}

// respond answers a valid request.
func (s *Server) respond(ctx context.Context, conn net.Conn, request requestMessage) error {
	switch request.Subject {
	case subjectStatus:
		status, err := s.BuildStatus(ctx)
		if err != nil {
			return err
		}
		return sendFrame(conn, kindStatus, status)
	case subjectReport:
		admitted, deferral := s.Admit(request.Name)
		if !admitted {
			return sendDeferral(conn, deferral)
		}
		defer s.Release()
		return s.sendReport(ctx, conn)
	}
	return sendRejection(conn, &rejectionMessage{Code: rejectedUnusable, Text: textUnknownSubject})
}

// sendReport sends a report in chunks. Each is encoded after the previous one has been sent, so that only one encoded
// chunk is in memory.
func (s *Server) sendReport(ctx context.Context, conn net.Conn) error {
	header, observations, err := s.BuildReport(ctx)
	if err != nil {
		return sendDeferral(conn, failedReportDeferral)
	}
	if err := sendFrame(conn, kindHeader, header); err != nil {
		return err
	}
	sum := newChecksum()
	for chunk := range slices.Chunk(observations, peerreport.MaxChunkObservations) {
		startedAt := time.Now()
		frame, err := appendFrame(nil, kindObservations, chunk)
		if err != nil {
			s.OnRejected(conn.RemoteAddr().String(), err.Error())
			return err
		}
		sum.add(frame[frameHeaderBytes:])
		if s.SpendBudget != nil {
			if err := s.SpendBudget(ctx, len(frame), time.Since(startedAt)); err != nil {
				return err
			}
		}
		if err := writeFrame(conn, frame); err != nil {
			return err
		}
	}
	return sendFrame(conn, kindEnd, sum.bytes())
}
