package main

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// searchCommand sends one searchCommand: to the OpenSearch-style front with an index, or to the own one with a type and blocks.
type searchCommand struct {
	Address string        `required:"" help:"Host and port of a front." placeholder:"HOST:PORT"`
	Index   string        `help:"Index, on the OpenSearch-style front." xor:"kind" placeholder:"NAME"`
	Type    string        `help:"Query type, on the own front." xor:"kind" placeholder:"NAME"`
	Partner string        `help:"Partner, on the own front." placeholder:"NAME"`
	Blocks  []int         `help:"Blocks to search; on the own front all that are wanted." sep:","`
	Query   string        `help:"The query, as JSON." xor:"query" placeholder:"JSON"`
	File    string        `help:"File with the whole body, - for standard input." xor:"query" placeholder:"FILE"`
	Size    int           `help:"Hits wanted." default:"10"`
	Wait    time.Duration `help:"How long to wait." default:"3s"`
	JSON    bool          `help:"Show what came as it is."`
}

const answerMost = 16 << 20 // bytes of an answer that are read

func (s *searchCommand) Run() error {
	if (s.Index == "") == (s.Type == "") {
		return fmt.Errorf("either --index (OpenSearch-style front) or --type (own front) is needed")
	}
	text, err := s.body()
	if err != nil {
		return err
	}
	req, err := s.request(text)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: s.Wait + time.Second}
	began := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(io.LimitReader(res.Body, answerMost))
	if err != nil {
		return err
	}
	if s.JSON {
		os.Stdout.Write(append(bytes.TrimSpace(got), '\n'))
	} else if err = s.show(res, got, time.Since(began)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return exitCodeError(1)
	}
	return nil
}

// body is the search's text, with the size in it where the query is given by itself.
func (s *searchCommand) body() ([]byte, error) {
	switch {
	case s.File == "-":
		return io.ReadAll(io.LimitReader(os.Stdin, answerMost))
	case s.File != "":
		return os.ReadFile(s.File)
	}
	body := map[string]any{"size": s.Size}
	if s.Query != "" {
		var q any
		if err := json.Unmarshal([]byte(s.Query), &q); err != nil {
			return nil, fmt.Errorf("--query: %w", err)
		}
		body["query"] = q
	}
	return json.Marshal(body)
}

func (s *searchCommand) request(text []byte) (*http.Request, error) {
	if s.Index != "" {
		url := fmt.Sprintf("http://%s/%s/_search?cancel_after_time_interval=%dms", s.Address, s.Index, s.Wait.Milliseconds())
		if len(s.Blocks) > 0 {
			url += "&preference=_shards:" + strings.Trim(strings.ReplaceAll(fmt.Sprint(s.Blocks), " ", ","), "[]")
		}
		return http.NewRequest(http.MethodPost, url, bytes.NewReader(text))
	}
	if len(s.Blocks) == 0 {
		return nil, fmt.Errorf("--blocks are needed on the own front")
	}
	var parts []string
	for _, b := range s.Blocks {
		parts = append(parts, fmt.Sprintf(`{"range":%d,"portion":%g}`, b, 1/float64(len(s.Blocks))))
	}
	predicate, _ := json.Marshal(string(text))
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address+"/"+s.Type,
		strings.NewReader(fmt.Sprintf(`{"ranges":[%s],"predicate":%s}`, strings.Join(parts, ","), predicate)))
	if err != nil {
		return nil, err
	}
	var id [8]byte
	rand.Read(id[:])
	for name, v := range map[string]string{
		"X-Request-Id": fmt.Sprintf("%x", id), "X-Class": s.Type, "X-Tenant": s.Partner,
		"X-Deadline": strconv.FormatFloat(s.Wait.Seconds(), 'f', 3, 64),
	} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	return req, nil
}

// show prints an answer of either front as a table, with how many blocks are in.
func (s *searchCommand) show(res *http.Response, got []byte, took time.Duration) error {
	var m struct {
		Shards struct {
			Total, Successful, Failed int
			Failures                  []struct {
				Shard  int
				Reason struct{ Type, Reason string }
			}
		} `json:"_shards"`
		Hits struct {
			Total struct {
				Value    int
				Relation string
			}
			Hits []struct {
				ID     string          `json:"_id"`
				Score  *float64        `json:"_score"`
				Source json.RawMessage `json:"_source"`
			}
		}
		Aggregations json.RawMessage
		Total        bool
		Answers      []struct {
			Range int
			Blob  string
		}
		Error struct{ Type, Reason string }
	}
	if err := json.Unmarshal(got, &m); err != nil {
		return fmt.Errorf("status %d, and what came is no answer: %w", res.StatusCode, err)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer out.Flush()
	switch {
	case res.StatusCode != http.StatusOK:
		fmt.Fprintf(out, "status %d in %v: %s %s\n", res.StatusCode, took.Round(time.Millisecond), m.Error.Type, m.Error.Reason)
		if wait := res.Header.Get("Retry-After"); wait != "" {
			fmt.Fprintf(out, "come back in %s s\n", wait)
		}
	case s.Index != "":
		sign := map[string]string{"gte": "at least ", "eq": ""}[m.Hits.Total.Relation]
		fmt.Fprintf(out, "%s%d members in %v; blocks: %d of %d, %d failed\n", sign, m.Hits.Total.Value, took.Round(time.Millisecond),
			m.Shards.Successful, m.Shards.Total, m.Shards.Failed)
		for _, f := range m.Shards.Failures {
			fmt.Fprintf(out, "block %d: %s: %s\n", f.Shard, f.Reason.Type, f.Reason.Reason)
		}
		fmt.Fprintln(out, "ID\tSCORE\tMEMBER")
		for _, h := range m.Hits.Hits {
			score := "-"
			if h.Score != nil {
				score = strconv.FormatFloat(*h.Score, 'g', 4, 64)
			}
			fmt.Fprintf(out, "%s\t%s\t%s\n", h.ID, score, h.Source)
		}
		if len(m.Aggregations) > 0 {
			fmt.Fprintf(out, "aggregations\t%s\n", m.Aggregations)
		}
	default:
		fmt.Fprintf(out, "%d of %d blocks in %v, whole: %t\n", len(m.Answers), len(s.Blocks), took.Round(time.Millisecond), m.Total)
		fmt.Fprintln(out, "BLOCK\tVALUE")
		for _, a := range m.Answers {
			fmt.Fprintf(out, "%d\t%s\n", a.Range, a.Blob)
		}
	}
	return nil
}
