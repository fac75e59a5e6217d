package subscribers

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"chalkring/config/strictyaml"
	"chalkring/internal/guard"
)

const (
	maxYAMLBytes      = 512 << 10 // some 5,000 lines: the parser stores the position of every node, 30 kB per line
	maxJSONLinesBytes = 64 << 20
	maxFileConsent    = 1 << 40 // operators increment consents by hand, so real ones stay far below
	maxReportedFaults = 16      // per file
)

// FileLine is a file's line about one subscriber.
type FileLine struct {
	Details
	Consent     uint64
	detailsHash uint64
}

// RegionFile is a region's list of subscribers. A subscriber with a line is subscribed; one whose line was removed has
// unsubscribed. A line counts only for the consent that it states, so reading a file again does not resubscribe anyone
// who has unsubscribed since.
type RegionFile struct {
	Region      string
	Generation  int64
	Lines       map[Key]FileLine
	Digest      uint64 // of the lines, in any order, and the delivery URL
	DeliveryURL string
}

// FileHeader is the header of a file. It and subscriptionEntry have the same fields in YAML and in JSON lines.
type FileHeader struct {
	Region     string `yaml:"region" json:"region"`
	Generation int64  `yaml:"generation" json:"generation"`
	Count      int    `yaml:"count" json:"count"`
	Deliver    string `yaml:"deliver" json:"deliver"` // HTTP URL that deliveries go to; {tenant} stands for the tenant's name
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

// ParseYAML reads a region's file and reports its faults with line and column.
func ParseYAML(text []byte) (*RegionFile, error) {
	return guard.Read(func() (*RegionFile, error) { return parseYAML(text) })
}

func parseYAML(text []byte) (*RegionFile, error) {
	var content struct {
		FileHeader    `yaml:",inline"`
		Subscriptions []subscriptionEntry `yaml:"subscriptions"`
	}
	document, err := strictyaml.Decode(text, maxYAMLBytes, &content)
	if err != nil {
		return nil, err
	}
	reportHeaderFault := func(field, reason string) { document.AddError("$."+field, "%s", reason) }
	file := content.newFile(len(content.Subscriptions), reportHeaderFault)
	reported := 0
	for i, entry := range content.Subscriptions {
		if reason := file.addLine(entry); reason != "" && reported < maxReportedFaults {
			reported++
			document.AddError(fmt.Sprintf("$.subscriptions[%d]", i), "%s", reason)
		}
	}
	file.computeDigest()
	return file, document.Err()
}

// ParseJSONLines reads a region's file in the form of JSON lines, the first of which is the header. This form is for
// files of up to 100,000 lines, for which YAML takes too long.
func ParseJSONLines(text []byte) (*RegionFile, error) {
	return guard.Read(func() (*RegionFile, error) { return parseJSONLines(text) })
}

func parseJSONLines(text []byte) (*RegionFile, error) {
	if len(text) > maxJSONLinesBytes {
		return nil, &InvalidLineError{0, fmt.Sprintf("the file has more than the %d bytes allowed", maxJSONLinesBytes)}
	}
	firstLine, rest, _ := bytes.Cut(text, []byte("\n"))
	var header FileHeader
	if err := decodeStrictJSON(firstLine, &header); err != nil {
		return nil, &InvalidLineError{1, "the first line must hold region, generation and count: " + err.Error()}
	}
	var faults []error
	report := func(line int, reason string) {
		if len(faults) < maxReportedFaults {
			faults = append(faults, &InvalidLineError{line, reason})
		}
	}
	withoutHeader := &RegionFile{Lines: map[Key]FileLine{}} // the header is checked against the number of lines
	count := withoutHeader.addJSONLines(rest, report)
	file := header.newFile(count, func(field, reason string) { report(1, field+": "+reason) })
	file.Lines = withoutHeader.Lines
	file.computeDigest()
	return file, errors.Join(faults...)
}

// addJSONLines adds the lines below the first one, and returns how many there are, faulty ones included.
func (f *RegionFile) addJSONLines(text []byte, report func(line int, reason string)) (count int) {
	for number := 2; len(text) > 0; number++ {
		var line []byte
		line, text, _ = bytes.Cut(text, []byte("\n"))
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		count++
		var entry subscriptionEntry
		if err := decodeStrictJSON(line, &entry); err != nil {
			report(number, err.Error())
		} else if reason := f.addLine(entry); reason != "" {
			report(number, reason)
		}
	}
	return count
}

// decodeStrictJSON decodes exactly one object, and rejects unknown fields.
func decodeStrictJSON(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("expected one object, but the line goes on after it")
	}
	return nil
}

// newFile checks the header and returns a file with it and without lines. The count reveals a file that was read while
// half-written, whose missing lines would count as unsubscriptions.
func (h FileHeader) newFile(lineCount int, report func(field, reason string)) *RegionFile {
	if !isRegion(h.Region) {
		report("region", fmt.Sprintf("%.40q is not a region name of 1 to %d bytes without spaces and slashes", h.Region, maxRegionBytes))
	}
	if h.Generation < 1 {
		report("generation", "is missing or below 1: it must rise with each change of the file")
	}
	if h.Count != lineCount {
		report("count", fmt.Sprintf("says %d, but the number of subscriptions is %d: the file is incomplete", h.Count, lineCount))
	}
	if h.Deliver != "" && !isHTTPURL(h.Deliver) {
		report("deliver", fmt.Sprintf("%.60q is not an HTTP URL", h.Deliver))
	}
	if lineCount > MaxSubscriptions {
		report("count", fmt.Sprintf("%d subscriptions, at most %d are allowed", lineCount, MaxSubscriptions))
	}
	return &RegionFile{Region: h.Region, Generation: h.Generation, Lines: make(map[Key]FileLine, lineCount), DeliveryURL: h.Deliver}
}

func isHTTPURL(text string) bool {
	address, err := url.Parse(text)
	return err == nil && (address.Scheme == "http" || address.Scheme == "https") && address.Host != ""
}

// addLine adds a subscriber's line and returns what is wrong with it, empty if it was added.
func (f *RegionFile) addLine(entry subscriptionEntry) (reason string) {
	interval, err := time.ParseDuration(entry.Every)
	if err != nil {
		return fmt.Sprintf("every: %.40q is not a duration such as 30s", entry.Every)
	}
	key := Key{entry.Tenant, entry.ID}
	line := FileLine{Details: Details{entry.Type, entry.Query, int64(interval / timeUnit), entry.Blocks}, Consent: max(1, entry.Consent)}
	if reason := key.validate(); reason != "" {
		return reason
	}
	if reason := line.validate(); reason != "" {
		return reason
	}
	if _, duplicate := f.Lines[key]; duplicate {
		return fmt.Sprintf("%s is listed twice", key)
	}
	if line.Consent > maxFileConsent {
		return "the consent is above 2^40"
	}
	line.detailsHash = line.hash()
	f.Lines[key] = line
	return ""
}

func (f *RegionFile) computeDigest() {
	header := newDigest()
	header.addText(f.DeliveryURL)
	f.Digest = header.sum()
	for key, line := range f.Lines {
		d := newDigest()
		d.addText(key.EntryName())
		d.addNumber(line.detailsHash)
		d.addNumber(line.Consent)
		f.Digest += d.sum()
	}
}
