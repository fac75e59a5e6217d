package fanout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chalkring/config/strictyaml"
	"chalkring/control/subscribers"
	"chalkring/coordinator"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
)

const fileMost = 64 << 20 // bytes of a region's file

// BlockValue is what a block answered.
type BlockValue struct {
	Block int    `json:"block"`
	Hash  string `json:"hash"`            // of the value, also of one that is too long to be delivered
	Value []byte `json:"value,omitempty"` // in base64; left out over 64 KiB
}

// DeliveryMessage is what is handed over: the blocks whose values are others than those handed over before. A receiver drops
// a number that it had; of two gateways' numbers the higher is the later, but while regions were cut off from each other.
type DeliveryMessage struct {
	Tenant   string                     `json:"tenant"`
	ID       string                     `json:"id"`
	Consent  uint64                     `json:"consent"`
	Number   subscribers.DeliveryNumber `json:"number"`
	Previous subscribers.DeliveryNumber `json:"last"` // the one before, as far as it is known
	Period   int64                      `json:"period"`
	Values   []BlockValue               `json:"values"`
}

// DeliverFunc hands a delivery over; an error says that it may not have arrived.
type DeliverFunc func(ctx context.Context, d DeliveryMessage) error

// RegionMismatchError is another region's file.
type RegionMismatchError struct{ FileRegion, OwnRegion string }

func (e *RegionMismatchError) Error() string {
	return fmt.Sprintf("the file is region %s's, this instance stands in %s", e.FileRegion, e.OwnRegion)
}

// Advice tells an operator what to do.
func (e *RegionMismatchError) Advice() string {
	return "Put the own region's file in place, or mend `region` in it or in the section `fleet`."
}

// ZoneForbiddenError is a subscription of a tenant whose contract keeps its entries from a zone in which the list lies.
type ZoneForbiddenError struct{ Tenant, Zone string }

func (e *ZoneForbiddenError) Error() string {
	return fmt.Sprintf("entries of tenant %.60q may not be in zone %.60q, where instances of this fleet keep the list", e.Tenant, e.Zone)
}

// Advice tells an operator what to do.
func (e *ZoneForbiddenError) Advice() string {
	return "Serve the tenant by a fleet of its own whose instances all stand in zones of its contract."
}

// DeliveryFailedError is a delivery that its receiver did not take.
type DeliveryFailedError struct {
	Destination string
	Err         error
}

func (e *DeliveryFailedError) Error() string {
	return fmt.Sprintf("delivery to %s: %v", e.Destination, e.Err)
}
func (e *DeliveryFailedError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *DeliveryFailedError) Advice() string {
	return "Look at the receiver; what it lacks is handed over after the next search of the subscriber."
}

// SearchFailedError is a standing search that brought nothing.
type SearchFailedError struct{ Reason string }

func (e *SearchFailedError) Error() string { return "standing search: " + e.Reason }

// Advice tells an operator what to do.
func (e *SearchFailedError) Advice() string {
	return "If it repeats: see whether type and tenant stand in the plan, and whether hosts have room; it runs again after its period."
}

// due starts searches that are due.
func (g *Gateway) due() {
	if g.ended {
		return
	}
	runs, _ := g.gate.StartDueSearches(now(), 2*together)
	for _, r := range runs {
		g.serial++
		name := fmt.Sprintf("sub-%s-%d", g.o.Self.Name, g.serial)
		job := scheduler.Job{Name: name, Kind: standing, Priority: scheduler.PriorityNormal, MaxFailures: 1}
		begun := time.Now()
		_, err := g.pool.Add(job, func(ctx context.Context, a *scheduler.Allowance) error {
			if time.Since(begun) > lateMost {
				g.back(ctx, r, nil)
				return nil
			}
			g.back(ctx, r, g.search(ctx, name, r))
			return nil
		})
		if err != nil {
			g.gate.CompleteSearch(now(), r, nil)
		}
	}
}

// search runs one and gives its values by block.
func (g *Gateway) search(ctx context.Context, name string, r subscribers.DueSearch) (values map[int][]byte) {
	blocks := r.Blocks
	if len(blocks) == 0 {
		for b := range min(g.door.BlockCount(), subscribers.MaxBlocks) {
			blocks = append(blocks, b)
		}
	}
	given, err := g.door.Search(ctx, coordinator.SearchRequest{
		ID: strings.ReplaceAll(name, ".", "_"), Type: r.Type, Tenant: r.Key.Tenant, Body: []byte(r.Query),
		Shards: blocks, Timeout: g.door.SearchTimeout(r.Type),
		DecodeValue: func(_ int, value []byte) (any, error) { return bytes.Clone(value), nil },
	})
	why := ""
	switch {
	case ctx.Err() != nil:
		return nil
	case err != nil:
		why = err.Error()
	case given.Outcome != coordinator.OutcomeAnswered:
		why = map[int]string{coordinator.OutcomeShed: "shed", coordinator.OutcomeFailed: "errored", coordinator.OutcomeDuplicateID: "its name is open"}[given.Outcome]
	}
	if why != "" || err != nil {
		g.tell("subscriber_search", advice.LogAttrs(&SearchFailedError{why}, "subscriber", r.Key)...)
		return nil
	}
	values = map[int][]byte{}
	for _, p := range given.Parts {
		values[p.Shard], _ = p.Value.([]byte)
	}
	return values
}

// turn runs f in the gateway's goroutine and waits for it.
func (g *Gateway) turn(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case g.turns <- func() { f(); close(done) }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// back takes in what a search brought, and hands over what is to be delivered.
func (g *Gateway) back(ctx context.Context, r subscribers.DueSearch, values map[int][]byte) {
	hashes := map[int]uint64{}
	for b, v := range values {
		hashes[b] = xxhash.Sum64(v)
	}
	var d subscribers.Delivery
	var ok bool
	var to string
	if !g.turn(ctx, func() {
		if d, ok = g.gate.CompleteSearch(now(), r, hashes); g.file != nil {
			to = g.file.DeliveryURL
		}
	}) || !ok {
		return
	}
	out := DeliveryMessage{Tenant: d.Key.Tenant, ID: d.Key.ID, Consent: d.Consent, Number: d.Number, Previous: d.Previous, Period: d.Period}
	for _, b := range d.Blocks {
		v := BlockValue{Block: b, Hash: fmt.Sprintf("%016x", hashes[b]), Value: values[b]}
		if len(v.Value) > valueMost {
			v.Value = nil
		}
		out.Values = append(out.Values, v)
	}
	hand := g.o.Deliver
	if hand == nil {
		hand = DeliverByHTTP(strings.ReplaceAll(to, "{tenant}", d.Key.Tenant))
	}
	err := handOver(ctx, hand, out)
	var mark subscribers.DeliveryCheckpoint
	if !g.turn(ctx, func() { mark = g.gate.CompleteDelivery(now(), d, err == nil) }) {
		return
	}
	if err != nil {
		g.tell("subscriber_delivery", advice.LogAttrs(err, "subscriber", d.Key, "number", d.Number)...)
		return
	}
	if err := g.write(d.Key, subscribers.RecordDelivery(d.Consent, mark)); err != nil {
		g.tell("subscriber_refused", advice.LogAttrs(err, "subscriber", d.Key)...)
	}
}

// handOver tries a few times, with one number.
func handOver(ctx context.Context, hand DeliverFunc, d DeliveryMessage) (err error) {
	ctx, stop := context.WithTimeout(ctx, deliverMost)
	defer stop()
	for i := range tries {
		if i > 0 {
			select {
			case <-time.After(tryAgain):
			case <-ctx.Done():
				return err
			}
		}
		if err = hand(ctx, d); err == nil {
			return nil
		}
	}
	return err
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: together, IdleConnTimeout: time.Minute, Proxy: nil}}

// DeliverByHTTP is a delivery by HTTP: a POST with the delivery as JSON, taken with a status from 200 to 299.
func DeliverByHTTP(url string) DeliverFunc {
	return func(ctx context.Context, d DeliveryMessage) error {
		if url == "" {
			return &DeliveryFailedError{"nobody", errors.New("the region's file names no address under deliver")}
		}
		body, err := json.Marshal(d)
		if err != nil {
			return &DeliveryFailedError{url, err}
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return &DeliveryFailedError{url, err}
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			return &DeliveryFailedError{url, err}
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<16))
		if res.StatusCode < 200 || res.StatusCode > 299 {
			return &DeliveryFailedError{url, errors.New(res.Status)}
		}
		return nil
	}
}

type fileSeen struct {
	file *subscribers.RegionFile
	err  error
}

// ReadRegionFile reads a region's file: YAML, or JSON lines where its name ends so.
func ReadRegionFile(path string) (f *subscribers.RegionFile, err error) {
	text, err := strictyaml.ReadFile(path, fileMost)
	if err != nil {
		return nil, err
	}
	if strings.HasPrefix(filepath.Ext(path), ".json") {
		f, err = subscribers.ParseJSONLines(text)
	} else {
		f, err = subscribers.ParseYAML(text)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// IsRegionFile tells whether a YAML file looks like a region's list.
func IsRegionFile(path string) bool {
	text, err := os.ReadFile(path)
	return err == nil && bytes.Contains(append([]byte("\n"), text...), []byte("\nsubscriptions:"))
}

// watchFile tells of the file as it is and of each change of it once it rests, until ctx ends.
func watchFile(ctx context.Context, path string, seen chan<- fileSeen) {
	type stamp struct {
		size int64
		at   time.Time
		err  bool
	}
	var was, read stamp
	for begun := false; ; {
		s := stamp{err: true}
		info, err := os.Stat(path)
		if err == nil {
			s = stamp{info.Size(), info.ModTime(), false}
		}
		if s != read && (s == was || !begun) {
			var f *subscribers.RegionFile
			if read = s; err == nil {
				f, err = ReadRegionFile(path)
			}
			select {
			case seen <- fileSeen{f, err}:
			case <-ctx.Done():
				return
			}
		}
		was, begun = s, true
		select {
		case <-time.After(fileLook):
		case <-ctx.Done():
			return
		}
	}
}

const fileLook = 300 * time.Millisecond // between looks at the file, which has to rest so long
