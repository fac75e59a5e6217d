package peerreport

const (
	deskMost   = 2           // askers answered at once: each costs a buffer of slices and a writer
	freshFor   = second / 2  // a snapshot of that age is answered with again: the owner takes few, however many ask
	slotEvery  = second / 4  // between come-back times that are handed out: four askers a second cost nothing
	slotsMost  = 30 * second // farthest such time; beyond, all are told that
	nameEvery  = second      // between two answers to one name: a peer that asks without pause waits its turn
	namesMost  = 256         // names remembered for that; beyond, the oldest is forgotten
	busyMost   = 0.7         // of the owner's time in turns, over which nobody is answered: searches go first
	busyWait   = 2 * second  // shortest come-back time while busy
	retakeMost = 3           // times that a snapshot is begun again because the list changed under it
)

// Admission decides who is answered: few at once, each name now and then, nobody while searches need the owner. All
// others are told when to come back, at times handed out one after another, so that they do not come back
// together. Guards against fifty that restart at once and ask one peer. It is one goroutine's.
type Admission struct {
	busy     float64
	serving  int
	slot     int64 // the last come-back time handed out
	names    map[string]int64
	order    []string
	takenAt  int64 // of the newest snapshot, 0 for none
	retakes  int
	Admitted int // askers answered
	Deferred int // askers put off
}

func NewAdmission() *Admission { return &Admission{names: map[string]int64{}} }

// SetLoad notes the share of its time that the owner spends in turns.
func (d *Admission) SetLoad(share float64) { d.busy = share }

// Admit tells whether an asker is answered now, or else after how long it is to come back.
func (d *Admission) Admit(now int64, name string) (ok bool, later int64) {
	last, known := d.names[name]
	switch {
	case d.busy > busyMost:
		later = max(busyWait, d.handOut(now))
	case known && now-last < nameEvery:
		later = last + nameEvery - now
	case d.serving >= deskMost:
		later = d.handOut(now)
	default:
		if !known {
			d.order = append(d.order, name)
		}
		if d.names[name] = now; len(d.order) > namesMost {
			delete(d.names, d.order[0])
			d.order = d.order[1:]
		}
		d.serving++
		d.Admitted++
		return true, 0
	}
	d.Deferred++
	return false, later
}

// handOut gives the next free come-back time, as a wait.
func (d *Admission) handOut(now int64) int64 {
	d.slot = max(d.slot, now) + slotEvery
	if d.slot > now+slotsMost {
		d.slot = now + slotsMost
	}
	return d.slot - now
}

// Release tells that an asker has its answer, or has left.
func (d *Admission) Release() { d.serving = max(0, d.serving-1) }

// IsSnapshotFresh tells whether the newest snapshot may be answered with once more.
func (d *Admission) IsSnapshotFresh(now int64) bool { return d.takenAt > 0 && now-d.takenAt < freshFor }

// RecordSnapshot notes that a snapshot is complete that was begun at a time.
func (d *Admission) RecordSnapshot(began int64) { d.takenAt, d.retakes = began, 0 }

// AllowSnapshotRetake tells whether a snapshot is begun again because the list changed under it; at last it is sent as it is:
// each note stands by itself, and one host told twice counts once.
func (d *Admission) AllowSnapshotRetake() bool {
	d.retakes++
	return d.retakes <= retakeMost
}
