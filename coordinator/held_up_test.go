package coordinator

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that is held up, and whose clients leave meanwhile, sends nothing for them when it goes on, though the wakes of
// their searches are due at once.
func TestClientsThatLeaveDuringStall(t *testing.T) {
	const lives, clients = 6, 24 // without what it holds, one life in three sends something
	for i := range lives {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			l := newLife(t)
			l.start(nil)
			l.ready()
			l.holding()
			took := func() (n int) {
				for _, h := range l.hosts {
					n += h.CountRequests()
				}
				return n
			}
			var conns []net.Conn
			for i := range clients {
				conn, _ := l.dial()
				_, err := conn.Write([]byte(request(fmt.Sprint("q", i), "all", "", fourParts)))
				require.NoError(t, err)
				conns = append(conns, conn)
			}
			l.eventually("parts are out", func() bool { return took() >= 8 }) // of 16 that may be, on a machine that is busy
			l.signal(syscall.SIGSTOP)
			l.eventually("it stands still", func() bool {
				text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", l.cmd.Process.Pid))
				require.NoError(t, err)
				return strings.Contains(string(text), ") T ")
			})
			for _, conn := range conns {
				conn.Close()
			}
			time.Sleep(time.Duration(400+200*i) * time.Millisecond) // an overdue part waits 500 ms for its copy
			before := took()
			l.signal(syscall.SIGCONT)
			l.ready()                          // it goes on
			time.Sleep(200 * time.Millisecond) // for what would go out
			require.Equal(t, before, took(), "%s", l.log)
			l.signal(syscall.SIGTERM)
			l.over(0)
		})
	}
}
