package subscribers

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/config/strictyaml"
)

const (
	RegionFileKeyPrefix = "subfile/" // of the ledger's names that say which file of a region is in force
	yamlMost            = 512 << 10  // bytes of a YAML file, some 5,000 lines: read whole with every place in it, which takes 30 kB a line
	linesMost           = 64 << 20   // bytes of a file of JSON lines
	consentMost         = 1 << 40    // a consent is counted up by hand
	toldMost            = 16         // faults of one file that are named
)

// FileLine is what a file says of a subscriber.
type FileLine struct {
	Details
	Consent     uint64
	detailsHash uint64 // hash of the details
}

// RegionFile is a region's list. Its lines are subscribed; one that stood in it and does not any more has unsubscribed. A
// file is the subscriber's word only with the consent that stands in it, so reading it again brings nobody back.
type RegionFile struct {
	Region      string
	Generation  int64
	Lines       map[Key]FileLine
	Digest      uint64 // of all that it says
	DeliveryURL string
}

// FileHeader is what a file says of itself. It and entry are the forms of YAML and of JSON lines alike.
type FileHeader struct {
	Region     string `yaml:"region" json:"region"`
	Generation int64  `yaml:"generation" json:"generation"`
	Count      int    `yaml:"count" json:"count"`
	Deliver    string `yaml:"deliver" json:"deliver"` // http address that deliveries of the region go to; {tenant} is the tenant's name
}

type subscriptionEntry struct {
	Tenant  string `yaml:"tenant" json:"tenant"`
	ID      string `yaml:"id" json:"id"`
	Type    string `yaml:"type" json:"type"`
	Query   string `yaml:"query" json:"query"`
	Every   string `yaml:"every" json:"every"`
	Blocks  []int  `yaml:"blocks" json:"blocks"`
	Consent uint64 `yaml:"consent" json:"consent"`
}

// ParseYAML reads a region's file whole.
func ParseYAML(text []byte) (*RegionFile, error) {
	var in struct {
		FileHeader    `yaml:",inline"`
		Subscriptions []subscriptionEntry `yaml:"subscriptions"`
	}
	doc, err := strictyaml.Decode(text, yamlMost, &in)
	if err != nil {
		return nil, err
	}
	told := 0
	f := in.FileHeader.file(len(in.Subscriptions), func(at, why string) { doc.AddError("$."+at, "%s", why) })
	for i, e := range in.Subscriptions {
		if why := f.add(e); why != "" && told < toldMost {
			told++
			doc.AddError(fmt.Sprintf("$.subscriptions[%d]", i), "%s", why)
		}
	}
	f.sum()
	return f, doc.Err()
}

// InvalidLineError is what is wrong with one line of a file of JSON lines.
type InvalidLineError struct {
	Line   int
	Reason string
}

func (e *InvalidLineError) Error() string { return fmt.Sprintf("[%d:1] %s", e.Line, e.Reason) }
func (e *InvalidLineError) Advice() string {
	return "Mend the line that is named; `chalkring check FILE` looks at the file again. Until then the last good file is in force."
}

// ParseJSONLines reads the same as JSON lines, the first with region, generation and count: files of 100,000 lines, which
// YAML takes too long for.
func ParseJSONLines(text []byte) (*RegionFile, error) {
	if len(text) > linesMost {
		return nil, &InvalidLineError{0, fmt.Sprintf("over %d bytes", linesMost)}
	}
	var errs []error
	fault := func(line int, why string) {
		if len(errs) < toldMost {
			errs = append(errs, &InvalidLineError{line, why})
		}
	}
	first, rest, _ := bytes.Cut(text, []byte("\n"))
	var h FileHeader
	if err := decodeStrictJSON(first, &h); err != nil {
		return nil, &InvalidLineError{1, "the first line has region, generation and count: " + err.Error()}
	}
	f, seen := &RegionFile{Lines: map[Key]FileLine{}}, 0
	for n := 2; len(rest) > 0; n++ {
		var one []byte
		one, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(bytes.TrimSpace(one)) == 0 {
			continue
		}
		seen++
		var e subscriptionEntry
		if err := decodeStrictJSON(one, &e); err != nil {
			fault(n, err.Error())
		} else if why := f.add(e); why != "" {
			fault(n, why)
		}
	}
	lines := f.Lines
	f = h.file(seen, func(at, why string) { fault(1, at+": "+why) })
	f.Lines = lines
	f.sum()
	return f, errors.Join(errs...)
}

func decodeStrictJSON(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one object")
	}
	return nil
}

// file is a head's file. The count guards against a file that was read half-written: the lines that are missing would
// have unsubscribed.
func (h FileHeader) file(lines int, fault func(at, why string)) *RegionFile {
	if !isRegion(h.Region) {
		fault("region", fmt.Sprintf("%.40q is no name: 1 to %d letters without blanks and strokes", h.Region, regionMost))
	}
	if h.Generation < 1 {
		fault("generation", "is missing: it rises by one or more with each change of the file")
	}
	if h.Count != lines {
		fault("count", fmt.Sprintf("says %d, there are %d: the file is not whole", h.Count, lines))
	}
	if at, err := url.Parse(h.Deliver); h.Deliver != "" && (err != nil || at.Scheme != "http" && at.Scheme != "https" || at.Host == "") {
		fault("deliver", fmt.Sprintf("%.60q is no http address", h.Deliver))
	}
	if lines > MaxSubscriptions {
		fault("count", fmt.Sprintf("%d subscriptions, %d at the most", lines, MaxSubscriptions))
	}
	return &RegionFile{Region: h.Region, Generation: h.Generation, Lines: make(map[Key]FileLine, lines), DeliveryURL: h.Deliver}
}

func (f *RegionFile) add(e subscriptionEntry) (why string) {
	k := Key{e.Tenant, e.ID}
	every, err := time.ParseDuration(e.Every)
	if err != nil {
		return fmt.Sprintf("every: %.40q is no time such as 30s", e.Every)
	}
	l := FileLine{Details{e.Type, e.Query, int64(every / (100 * time.Microsecond)), e.Blocks}, max(1, e.Consent), 0}
	if why = k.check(); why == "" {
		why = l.check()
	}
	if _, twice := f.Lines[k]; twice && why == "" {
		why = fmt.Sprintf("%s is there twice", k)
	}
	if l.Consent > consentMost && why == "" {
		why = "no consent is counted so far"
	}
	if why == "" {
		l.detailsHash = l.hash()
		f.Lines[k] = l
	}
	return why
}

func (f *RegionFile) sum() {
	d := newDigest()
	d.text(f.DeliveryURL)
	f.Digest = d.sum()
	for k, l := range f.Lines { // whatever the order of lines
		d := newDigest()
		d.text(k.LedgerKey())
		d.number(l.detailsHash)
		d.number(l.Consent)
		f.Digest += d.sum()
	}
}

// FileStatus is which file of a region is in force, as the ledger holds it.
type FileStatus struct {
	Generation int64  `cbor:"1,keyasint"`
	Digest     uint64 `cbor:"2,keyasint"`
}

// DecodeFileStatus reads it; the greatest holds of those that were written apart.
func DecodeFileStatus(e crdt.Entry) (s FileStatus) {
	for _, one := range e.Siblings {
		var t FileStatus
		if !one.Deleted && reading.Unmarshal(one.Value, &t) == nil && (t.Generation > s.Generation || t.Generation == s.Generation && t.Digest > s.Digest) {
			s = t
		}
	}
	return s
}

// Admit tells whether a file may be in force beside what the ledger says, and what the ledger is to hold; nil where it
// says so already.
func (f *RegionFile) Admit(held FileStatus) (value []byte, err error) {
	if f.Generation < held.Generation || f.Generation == held.Generation && f.Digest != held.Digest {
		return nil, &StaleFileError{f.Region, f.Generation, held.Generation}
	}
	if f.Generation == held.Generation {
		return nil, nil
	}
	return cbor.Marshal(FileStatus{f.Generation, f.Digest})
}

// Said is what a file's word about one subscriber comes to, against what holds.
func (f *RegionFile) said(k Key, held Record, there bool, who string, wallMS uint64) (next Record, write bool, stale *StaleLineError) {
	line, stands := f.Lines[k]
	place, here := held.Attachments[f.Region]
	mine := Attachment{f.Generation, line.detailsHash}
	switch {
	case !stands:
		if there && !held.IsUnsubscribed() && here && place.Generation > 0 && place.Generation < f.Generation {
			return held.withUnsubscription(who, wallMS), true, nil
		}
	case !there || line.Consent > held.Consent:
		return held.anew(line.Consent, line.Details, f.Region, mine), true, nil
	case held.IsUnsubscribed():
		return held, false, &StaleLineError{k, line.Consent, held.Consent}
	case line.Consent == held.Consent && (!here || place.Generation < f.Generation && place.DetailsHash != mine.DetailsHash):
		held.Attachments = joinPlaces(held.Attachments, map[string]Attachment{f.Region: mine})
		return held.withDetails(line.Details), true, nil
	}
	return held, false, nil
}

// UpdateFor is the file's word about one subscriber, taken in by an instance.
func (f *RegionFile) UpdateFor(k Key, who string, wallMS uint64) RecordUpdate {
	return func(held Record, there bool) (Record, bool, error) {
		next, write, _ := f.said(k, held, there, who, wallMS)
		return next, write, nil
	}
}

// FindChanges names the subscribers about whom the file has a word that does not stand in the list yet, and the lines about
// those that have left.
func (f *RegionFile) FindChanges(l *List, mine func(Key) bool, most int) (keys []Key, stale []*StaleLineError) {
	look := func(k Key, held Record, there bool) {
		if len(keys) >= most {
			return
		}
		_, write, gone := f.said(k, held, there, "", 0)
		if gone != nil && len(stale) < most {
			stale = append(stale, gone)
		}
		if write && mine(k) {
			keys = append(keys, k)
		}
	}
	for k := range f.Lines {
		held, there := l.Get(k)
		look(k, held, there)
	}
	l.ForEach(func(k Key, held Record) {
		if _, stands := f.Lines[k]; !stands {
			look(k, held, true)
		}
	})
	return keys, stale
}
