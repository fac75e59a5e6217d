package peerprotocol

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/cluster/peerreport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

func hosts(n int) []peerreport.Observation {
	notes := make([]peerreport.Observation, n)
	for i := range notes {
		notes[i] = peerreport.Observation{
			HostID: fmt.Sprintf("host-%05d", i), ShortSamples: 80, LongSamples: 200, ShortLogSlowdown: 120, LongLogSlowdown: -90,
			StartedMs: 1_790_000_000_000, AgeMs: 1200, IsOutlier: i%9 == 0,
		}
	}
	return notes
}

// serve answers as peer "b" with so many hosts; edit changes the server before it starts.
func serve(t *testing.T, n int, edit func(s *Server)) (addr string, refused func() string) {
	why := atomic.Value{}
	notes := hosts(n)
	s := &Server{
		Name: "b", InstanceID: 7, AllowedNames: []string{"a"}, Release: func() {},
		Admit: func(string) (bool, time.Duration) { return true, 0 },
		BuildReport: func(context.Context) (peerreport.ReportHeader, []peerreport.Observation, error) {
			return peerreport.ReportHeader{Peer: "b", Serial: 1, HostCount: uint32(n)}, notes, nil
		},
		BuildStatus: func(context.Context) (Status, error) { return Status{Name: "b", HostCount: uint32(n)}, nil },
		OnRejected:  func(_, words string) { why.Store(words) },
	}
	if edit != nil {
		edit(s)
	}
	ctx, stop := context.WithCancel(context.Background())
	ln, ended := listen(t), make(chan error)
	go func() { ended <- s.Serve(ctx, ln) }()
	t.Cleanup(func() { stop(); require.NoError(t, <-ended) })
	return ln.Addr().String(), func() string { w, _ := why.Load().(string); return w }
}

// ask asks and counts the hosts that came.
func ask(addr string, edit func(a *Client)) (how peerreport.Outcome, later time.Duration, got int, err error) {
	a := &Client{
		PeerName: "b", Addr: addr, LocalName: "a", InstanceID: 1, Dial: (&net.Dialer{}).DialContext,
		OnHeader:       func(peerreport.ReportHeader) error { return nil },
		OnObservations: func(notes []peerreport.Observation) error { got += len(notes); return nil },
	}
	if edit != nil {
		edit(a)
	}
	how, later, err = a.FetchReport(context.Background())
	return how, later, got, err
}

func TestReport(t *testing.T) {
	addr, _ := serve(t, 10_000, nil)
	how, _, got, err := ask(addr, nil)
	require.NoError(t, err)
	require.Equal(t, peerreport.OutcomeReceived, how)
	require.Equal(t, 10_000, got)
	s, err := (&Client{Addr: addr, LocalName: "a", Dial: (&net.Dialer{}).DialContext}).FetchStatus(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint32(10_000), s.HostCount)
}

func TestWhatAskersAreTold(t *testing.T) {
	addr, refused := serve(t, 3, func(s *Server) {
		s.Admit = func(name string) (bool, time.Duration) { return name != "busy", 1500 * time.Millisecond }
		s.AllowedNames = append(s.AllowedNames, "busy")
	})
	how, later, _, err := ask(addr, func(a *Client) { a.LocalName = "busy" })
	require.NoError(t, err)
	require.Equal(t, peerreport.OutcomeDeferred, how)
	require.Equal(t, 1500*time.Millisecond, later)
	how, _, _, err = ask(addr, func(a *Client) { a.LocalName = "stranger" })
	require.Equal(t, peerreport.OutcomeRejected, how)
	require.ErrorContains(t, err, "name")
	require.NotEmpty(t, refused())
	how, _, _, _ = ask(addr, func(a *Client) { a.InstanceID = 7 })
	require.Equal(t, peerreport.OutcomeSelf, how)
	how, _, _, err = ask(addr, func(a *Client) { a.PeerName = "c" })
	require.Equal(t, peerreport.OutcomeRejected, how, "%v", err)
	for text, code := range map[string]string{
		"\x00\x00\x00\x02hx":        noUse,
		"\x00\x00\x00\x01s":         noUse,
		"\xff\xff\xff\xffh":         noUse,
		frameOf(hello{Version: 2}):  noVersion,
		frameOf(hello{Version: 1}):  noName,
		frameOf([]string{"a", "b"}): noUse,
	} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		conn.Write([]byte(text))
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		kind, rest, _, err := readFrame(conn, nil)
		require.NoError(t, err)
		require.Equal(t, byte(kindNo), kind)
		var n no
		require.NoError(t, decode(rest, &n))
		require.Equal(t, code, n.Code, "%q", text)
		conn.Close()
	}
}

func frameOf(v any) string {
	b, _ := appendFrame(nil, kindHello, v)
	return string(b)
}

// Every way in which a peer can be no use: each asking ends in time, with nothing but an outcome.
func TestUselessPeers(t *testing.T) {
	frame := func(kind byte, v any) []byte {
		b, err := appendFrame(nil, kind, v)
		require.NoError(t, err)
		return b
	}
	head := frame(kindHead, peerreport.ReportHeader{Peer: "b", HostCount: 1000})
	slice := frame(kindNotes, hosts(10))
	say := func(text []byte) func(conn net.Conn) { return func(conn net.Conn) { conn.Write(text) } }
	gone := listen(t)
	gone.Close()
	for name, do := range map[string]func(conn net.Conn){
		"unreachable": nil,
		"silent":      func(conn net.Conn) { io.Copy(io.Discard, conn) },
		"a byte a time": func(conn net.Conn) {
			for _, b := range append(append([]byte(nil), head...), slice...) {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		},
		"noise":            say(bytes.Repeat([]byte("\x00\x00\x00\x10noise"), 100)),
		"huge length":      say([]byte("\xff\xff\xff\xffr")),
		"no length":        say(make([]byte, 4)),
		"closes in a head": say(head[:len(head)-2]),
		"closes between":   say(head),
		"closes in slices": say(append(append([]byte(nil), head...), slice...)),
		"slices first":     say(slice),
		"two heads":        say(append(append([]byte(nil), head...), head...)),
		"no checksum":      say(append(append([]byte(nil), head...), frame(kindEnd, []byte("12345678"))...)),
		"later in between": say(append(append([]byte(nil), head...), frame(kindLater, uint32(1))...)),
		"bad names":        say(append(append([]byte(nil), head...), frame(kindNotes, []peerreport.Observation{{HostID: "a b"}})...)),
		"endless": func(conn net.Conn) {
			for conn.Write(head); ; {
				if _, err := conn.Write(slice); err != nil {
					return
				}
			}
		},
		"deep": say(append([]byte("\x00\x00\x04\x01r"), bytes.Repeat([]byte{0x81}, 1024)...)),
		"many": say(append([]byte("\x00\x00\x00\x06s\x9a\xff\xff\xff\xff"), head...)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := gone.Addr().String()
			if do != nil {
				ln := listen(t)
				addr = ln.Addr().String()
				go func() {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					io.ReadFull(conn, make([]byte, 12))
					do(conn)
				}()
			}
			began := time.Now()
			how, _, _, err := ask(addr, func(a *Client) {
				a.OnObservations = func(notes []peerreport.Observation) error {
					if a.InstanceID += uint64(len(notes)); a.InstanceID > 1000 {
						return fmt.Errorf("more hosts than the head tells")
					}
					return nil
				}
			})
			require.Equal(t, peerreport.OutcomeFailed, how)
			require.Error(t, err)
			require.Less(t, time.Since(began), wholeTime+5*time.Second)
		})
	}
}

// authority signs certificates for tests and writes them to files.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) {
	require.NoError(a.t, os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes name.pem and name.key for a certificate of subject.
func (a *authority) issue(name, subject string, serial int64) {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: subject}, DNSNames: []string{subject}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour),
	}, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	text, _ := x509.MarshalECPrivateKey(key)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", text)
}

func (a *authority) keys(name string, complain func(error)) *Credentials {
	file := func(n string) string { return filepath.Join(a.dir, n) }
	k, err := NewCredentials(file(name+".pem"), file(name+".key"), file("ca.pem"), complain)
	require.NoError(a.t, err)
	return k
}

func TestKeys(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	a.issue("a", "a", 2)
	a.issue("b", "b", 3)
	other.issue("a", "a", 4)
	complaints := make(chan error, 8)
	addr, refused := serve(t, 3, func(s *Server) { s.Credentials = a.keys("b", func(err error) { complaints <- err }) })
	with := func(k *Credentials) func(*Client) { return func(x *Client) { x.Credentials = k } }
	how, _, got, err := ask(addr, with(a.keys("a", nil)))
	require.NoError(t, err)
	require.Equal(t, peerreport.OutcomeReceived, how)
	require.Equal(t, 3, got)
	how, _, _, _ = ask(addr, with(other.keys("a", nil)))
	require.Equal(t, peerreport.OutcomeFailed, how, "another authority")
	how, _, _, _ = ask(addr, nil)
	require.Equal(t, peerreport.OutcomeFailed, how, "no keys at all")
	require.Eventually(t, func() bool { return strings.Contains(refused(), "handshake") }, 10*time.Second, time.Millisecond)
	how, _, _, _ = ask(addr, with(a.keys("b", nil)))
	require.Equal(t, peerreport.OutcomeRejected, how, "the certificate of another name")
	how, _, _, _ = ask(addr, func(x *Client) { x.Credentials, x.PeerName = a.keys("a", nil), "c" })
	require.Equal(t, peerreport.OutcomeFailed, how, "not the peer that was meant")

	// Half replaced: the last good pair stays in force, and that is told once. Whole again: the new one is taken.
	k := a.keys("a", func(err error) { complaints <- err })
	before, _ := k.current()
	require.NoError(t, os.WriteFile(filepath.Join(a.dir, "a.pem"), []byte("half"), 0o600))
	for range 3 {
		now, _ := k.current()
		require.Equal(t, before.Certificate, now.Certificate)
	}
	require.Len(t, complaints, 1)
	a.issue("a", "a", 5)
	now, _ := k.current()
	require.NotEqual(t, before.Certificate, now.Certificate)
	how, _, _, err = ask(addr, with(k))
	require.NoError(t, err)
	require.Equal(t, peerreport.OutcomeReceived, how)
}

func FuzzFrames(f *testing.F) {
	slice, _ := EncodeObservations(hosts(3))
	head, _ := appendFrame(nil, kindHead, peerreport.ReportHeader{Peer: "b", Zones: []peerreport.ZoneObservation{{Name: "z"}}})
	f.Add(slice)
	f.Add(head[5:])
	f.Add(bytes.Repeat([]byte{0x81}, 4000))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		if notes, err := DecodeObservations(text); err == nil {
			require.LessOrEqual(t, len(notes), peerreport.MaxChunkObservations)
			again, err := EncodeObservations(notes)
			require.NoError(t, err)
			back, err := DecodeObservations(again)
			require.NoError(t, err)
			require.Equal(t, notes, back)
		}
		if h, err := DecodeHeader(text); err == nil {
			require.NoError(t, peerreport.NewReportStore("", nil).BeginReport(0, h))
		}
		framed := append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
		if _, rest, _, err := readFrame(bytes.NewReader(framed), nil); err == nil {
			require.Equal(t, text[1:], rest[:len(text)-1])
		}
	})
}

func BenchmarkSlice(b *testing.B) {
	notes, bytes := hosts(10_000), 0
	for b.Loop() {
		bytes = 0
		for at := 0; at < len(notes); at += peerreport.MaxChunkObservations {
			text, _ := EncodeObservations(notes[at:min(len(notes), at+peerreport.MaxChunkObservations)])
			bytes += len(text)
		}
	}
	b.ReportMetric(float64(bytes)/float64(len(notes)), "bytes/host")
}
