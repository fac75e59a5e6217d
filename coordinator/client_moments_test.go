package coordinator

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// leavings are the ways in which a client's connection ends.
var leavings = map[string]func(conn *net.TCPConn) error{
	"closed":      (*net.TCPConn).Close,
	"half-closed": (*net.TCPConn).CloseWrite,
	"reset": func(conn *net.TCPConn) error {
		conn.SetLinger(0)
		return conn.Close()
	},
}

// given counts the parts that hosts were told to give up.
func (r *rig) given() (n int) {
	for _, s := range r.replicas {
		_, given, _, _ := s.Seen()
		n += len(given)
	}
	return n
}

// allow has the hosts answer, or be silent.
func (r *rig) allow(do func(asked)) {
	for _, s := range r.replicas {
		s.Set(do)
	}
}

// As the co-ordinator stops, a client that has sent ahead and leaves is seen at once too: its open search is given up, and
// what it sent behind that is not sent on.
func TestClientLeavesBehindWhatItSentAhead(t *testing.T) {
	for how, leave := range leavings {
		t.Run(how, func(t *testing.T) {
			r := start(t, 256, nil)
			r.allow(func(asked) {})
			c := r.call().send(request("open", "all", "", fourParts))
			r.eventually("parts are out", func() bool { return r.parts() == 4 })
			r.stop()
			r.logged("event=stopping")
			c.send(request("behind", "all", "", fourParts) + request("part", "all", "", fourParts)[:90])
			r.eventually("it is awaited", func() bool {
				told := make(chan bool, 1)
				r.owner.post(func() { told <- len(r.owner.searches) == 1 })
				return <-told
			})
			require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			r.eventually("parts are given up", func() bool { return r.given() == 4 })
			r.end()
			require.Equal(t, 4, r.parts())
		})
	}
}
