// Package peerprotocol sends load reports and status between instances. A client sends one request on a connection; the
// server answers with a report in chunks, with its status, with a deferral (the wait before the next request), or with a
// rejection.
//
// Messages are CBOR arrays in length-prefixed frames over TCP, optionally with mutual TLS. docs/peer-reports.md
// describes the protocol. This package does the network I/O only; package peerreport decides which peers to poll, which
// to answer and how much their reports count.
package peerprotocol

import "time"

// protocolVersion is the version sent in each request; a server rejects requests of any other version.
const protocolVersion = 1

// Bounds on received messages. They limit the memory and time that a faulty peer can cost.
const (
	maxFrameBytes    = 128 << 10 // peerreport.MaxChunkObservations observations with the longest names
	maxResponseBytes = 4 << 20   // peerreport.MaxHosts observations of 200 bytes
	maxNesting       = 4         // nested CBOR arrays: a report header has three levels
	maxRejectionText = 200       // bytes of a rejection's text
)

// Timeouts.
const (
	dialTimeout      = time.Second      // to establish a connection
	handshakeTimeout = 2 * time.Second  // for the TLS handshake; on the server, for the handshake and the request together
	frameTimeout     = 2 * time.Second  // to receive or send one frame: cuts off a peer that sends only a byte now and then
	exchangeTimeout  = 10 * time.Second // for request and response: 4 MiB at half a megabyte a second
)

// Kinds of frames, with the side that sends them.
const (
	kindRequest      = 'h' // client: its name and the subject of the request
	kindDeferral     = 'l' // server: milliseconds until the client should ask again
	kindRejection    = 'n' // server: a code and a text
	kindHeader       = 'r' // server: a report begins
	kindObservations = 's' // server: a chunk of the report's observations
	kindEnd          = 'e' // server: the report is complete; holds its checksum
	kindStatus       = 't' // server: its status
)

// Subjects of a request.
const (
	subjectReport = "report"
	subjectStatus = "status"
)

// Codes of a rejection.
const (
	rejectedVersion  = "version"  // the client has another protocol version
	rejectedName     = "name"     // the client's name is not allowed, or its certificate does not contain it
	rejectedSelf     = "self"     // the client is the server's own instance
	rejectedUnusable = "unusable" // the request cannot be decoded, or its subject is unknown
)

// Texts of a rejection, by what is wrong with the request. They are sent to the client.
const (
	textNoRequest        = "no hello"
	textOtherVersion     = "version 1 is spoken here"
	textUnknownName      = "the name is not among those that may ask"
	textOtherCertificate = "the certificate is of another name"
	textOwnInstance      = "you are talking to yourself"
	textUnknownSubject   = "nothing known is wanted"
)

// requestMessage is the first message on a connection.
type requestMessage struct {
	_        struct{} `cbor:",toarray"`
	Version  uint16
	Name     string
	Instance uint64 // chosen when the client's instance starts; a server that receives its own ID has polled itself
	Subject  string
}

// rejectionMessage states why a request is not answered.
type rejectionMessage struct {
	_    struct{} `cbor:",toarray"`
	Code string
	Text string
}

// Status describes an instance for its operators. It is sent as a CBOR array: the order of the fields is part of the wire
// format.
type Status struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Locality        string
	UptimeMs        uint64
	ListVersion     int64 // version of the endpoint list
	HostCount       uint32
	ReportsServed   uint32 // requests answered with a report
	ReportsDeferred uint32 // requests answered with a deferral
	LoadPermille    uint16 // share of time during which the event loop is busy, in thousandths
	WaitingJobs     uint16 // background jobs
	RunningJobs     uint16
	DeferredJobs    uint32 // how often a due job was deferred because of load
	Peers           []PeerStatus
}

// PeerStatus describes one of the peers that an instance polls. It is sent as a CBOR array.
type PeerStatus struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	LastOutcome      string // peerreport.Outcome of the last poll; empty before the first
	LastOutcomeAgoMs uint64
	ReportCount      uint32 // reports received from it
	NextPollInMs     uint64 // 0 if the peer is due now or never
}
