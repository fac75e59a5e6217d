// Package peerprotocol carries load reports and status between instances. A client sends one request on a connection;
// the server answers with a report in chunks, with its status, with a time to come back, or with a rejection.
//
// Messages are CBOR arrays in length-prefixed frames over TCP, optionally with mutual TLS. docs/peer-reports.md
// describes the protocol. This package reads and writes sockets and decides nothing: package peerreport decides what is
// polled, answered and believed.
package peerprotocol

import "time"

// protocolVersion is the version in each request; a server rejects any other.
const protocolVersion = 1

// Bounds on what is received. Each bounds the memory or the time that a faulty peer can take.
const (
	maxFrameBytes    = 128 << 10 // peerreport.MaxChunkObservations observations with the longest names
	maxResponseBytes = 4 << 20   // peerreport.MaxHosts observations of 200 bytes
	maxNesting       = 4         // levels of CBOR arrays: a report header has three
	maxRejectionText = 200       // bytes of a rejection's text
)

// Timeouts.
const (
	dialTimeout      = time.Second      // for a connection to be established
	handshakeTimeout = 2 * time.Second  // for the TLS handshake, and on the server for the request too
	frameTimeout     = 2 * time.Second  // for one frame to be received or sent: a peer that trickles is cut off
	exchangeTimeout  = 10 * time.Second // for request and response: 4 MiB at half a megabyte a second
)

// The kind of a frame stands before its item.
const (
	kindRequest      = 'h' // client: who asks, for what
	kindDeferral     = 'l' // server: milliseconds until the client should come back
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
	rejectedVersion  = "version"
	rejectedName     = "name"
	rejectedSelf     = "self"
	rejectedUnusable = "unusable"
)

// Texts of a rejection, by what is wrong with the request. They travel.
const (
	textNoRequest        = "no hello"
	textOtherVersion     = "version 1 is spoken here"
	textUnknownName      = "the name is not among those that may ask"
	textOtherCertificate = "the certificate is of another name"
	textOwnInstance      = "you are talking to yourself"
	textUnknownSubject   = "nothing known is wanted"
)

// requestMessage opens a connection.
type requestMessage struct {
	_        struct{} `cbor:",toarray"`
	Version  uint16
	Name     string
	Instance uint64 // drawn at start: a server that receives its own is talking to itself
	Subject  string
}

// rejectionMessage says why a request is not answered.
type rejectionMessage struct {
	_    struct{} `cbor:",toarray"`
	Code string
	Text string
}

// Status describes an instance for its operators. It travels as a CBOR array: the order of the fields is the wire
// format.
type Status struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Locality        string
	UptimeMs        uint64
	ListVersion     int64 // version of the endpoint list
	HostCount       uint32
	ReportsServed   uint32 // requests answered with a report
	ReportsDeferred uint32 // requests answered with a time to come back
	LoadPermille    uint16 // share of its time for which the event loop is busy, in thousandths
	WaitingJobs     uint16 // background jobs
	RunningJobs     uint16
	DeferredJobs    uint32 // times that a due job was held back because of load
	Peers           []PeerStatus
}

// PeerStatus describes one of the peers that an instance polls. It travels as a CBOR array.
type PeerStatus struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	LastOutcome      string // peerreport.Outcome of the last poll; empty for none yet
	LastOutcomeAgoMs uint64
	ReportCount      uint32 // reports received from it
	NextPollInMs     uint64 // 0 for never or now
}
