package coordinator

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
)

const repeatMemory = 400 * time.Millisecond // how long a host drops a repeat

// effectRecorder plays all hosts and records which shard requests took effect. The hosts of a cell share what they have
// received; each drops a repeat for as long as it remembers the first, and a restart makes it forget. What happens to a
// shard request is drawn at random.
type effectRecorder struct {
	mu                sync.Mutex
	random            *rand.Rand
	effects           map[string]int // by the attempts' name
	memory            map[*fake.Host]map[string]time.Time
	ended             map[net.Conn]bool // connections from before a host's restart
	repeats, restarts int
}

func (d *effectRecorder) restart(h *fake.Host) {
	for _, conn := range h.CloseConnections() {
		d.ended[conn] = true
	}
	d.memory[h] = map[string]time.Time{}
	d.restarts++
}

// handle handles a shard request that a host has received.
func (d *effectRecorder) handle(h *fake.Host, p receivedRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	draw := d.random.Intn(10_000)
	if draw < 8 {
		d.restart(h) // before the shard request is handled
	}
	if d.ended[p.Conn] {
		return
	}
	switch {
	case draw < 60: // it does not take effect, and is not answered
		p.Conn.Close()
		return
	case draw < 110:
		p.Reply("later", "-", "")
		return
	}
	receivedAt, known := d.memory[h][p.ID]
	d.repeats += min(1, d.effects[p.ID])
	if keyed := strings.HasPrefix(p.ID, "k"); !keyed || !known || time.Since(receivedAt) > repeatMemory {
		d.effects[p.ID]++
		for other := range d.memory {
			if keyed && other.Cell == h.Cell {
				d.memory[other][p.ID] = time.Now()
			}
		}
	}
	switch {
	case draw < 190:
		p.Conn.Close() // its answer is lost
	case draw < 270:
		p.Conn.Close()
		time.AfterFunc(20*time.Millisecond, p.ReplyGood) // answered after the connection has closed
	case draw < 320:
		p.Reply("bad", "-", "")
	case draw < 340: // never answers
	case draw < 348:
		d.restart(h) // after the shard request took effect
	default:
		time.AfterFunc(time.Duration(draw%4)*time.Millisecond, p.ReplyGood)
	}
}

// No shard request takes effect twice, by the hosts' own records. Keyed ones are retried only at a replica that drops
// repeats and only as long as it does, unsafe ones only if the first attempt cannot have run. Guards against a retry
// after a lost answer, a reset or a host's restart that takes effect again.
func TestKeyedRequestsTakeEffectOnce(t *testing.T) {
	const searches, callers = 10_000, 20
	r := start(t, 512, func(settings map[string]any) {
		settings["Classes"] = []any{
			map[string]any{"Name": "hold", "Aim": 300.0, "Deadline": 600.0, "Effect": "dedup", "RepeatWindow": 400.0, "LateShare": 0.5},
			map[string]any{"Name": "log", "Aim": 300.0, "Deadline": 600.0, "Effect": "fragile", "LateShare": 0.5},
		}
		specifics, permissions := settings["Specifics"].(map[string]any), settings["Permissions"].(map[string]any)
		specifics["NeedByClass"], specifics["ClassFloor"], specifics["FollowUp"] = []any{1.0, 1.0}, []any{1.0, 1.0}, []any{0, 0}
		permissions["SecondCopies"], permissions["MaxAttempts"], permissions["DialTimeout"] = false, 4, 250.0
	})
	d := &effectRecorder{
		random: rand.New(rand.NewSource(32)), effects: map[string]int{}, ended: map[net.Conn]bool{},
		memory: map[*fake.Host]map[string]time.Time{},
	}
	for _, h := range r.replicas {
		d.memory[h] = map[string]time.Time{}
	}
	for _, h := range r.replicas {
		h.SetHandler(func(p receivedRequest) { d.handle(h, p) })
	}
	var g sync.WaitGroup
	status := make([]map[int]int, callers)
	for i := range callers {
		status[i] = map[int]int{}
		g.Go(func() {
			c := r.connect()
			for k := range searches / callers {
				class, name := "hold", "k"
				if k%3 == 0 {
					class, name = "log", "u"
				}
				text := request(fmt.Sprintf("%s%d-%d", name, i, k), class, "", fourParts)
				c.SetDeadline(time.Now().Add(testTimeout)) // for this answer; one connection may serve hundreds of searches
				c.send(strings.Replace(text, "X-Deadline: 8.000", "X-Deadline: 0.600", 1))
				got, _, _, keep := c.readAnswer()
				if status[i][got]++; !keep {
					c = r.connect()
				}
			}
		})
	}
	g.Wait()
	r.shutDown()
	d.mu.Lock()
	defer d.mu.Unlock()
	total := map[int]int{}
	for _, ofCaller := range status {
		for code, n := range ofCaller {
			total[code] += n
		}
	}
	t.Log("answers by status", total, "shard requests", len(d.effects), "repeats", d.repeats, "restarts", d.restarts)
	for effectID, n := range d.effects {
		require.Equal(t, 1, n, "effects of %s", effectID)
	}
	// the numbers depend on the load of the machine; without at least one of each, the test would show nothing
	require.Positive(t, total[200])
	require.Positive(t, d.repeats, "the faults cause repeats")
	require.Positive(t, d.restarts)
}
