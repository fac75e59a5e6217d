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
	"time"
)

// searchCommand sends one search, either to an OpenSearch-style frontend with an index, or to the program's own search
// API with a type and blocks.
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

const maxBodyBytes = 16 << 20 // of a request that is read from standard input, or of a response

// Run sends the search and prints its result. The exit code is 1 unless the response's status is 200.
func (c *searchCommand) Run() error {
	if (c.Index == "") == (c.Type == "") {
		return fmt.Errorf("either --index (OpenSearch-style front) or --type (own front) is needed")
	}
	body, err := c.body()
	if err != nil {
		return err
	}
	request, err := c.request(body)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: c.Wait + time.Second}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	result, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if c.JSON {
		fmt.Println(string(bytes.TrimSpace(result)))
	} else if err := c.print(response, result, time.Since(sentAt)); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return exitCodeError(1)
	}
	return nil
}

// body returns the request's body. The size is added to a query that is given by itself.
func (c *searchCommand) body() ([]byte, error) {
	switch {
	case c.File == "-":
		return io.ReadAll(io.LimitReader(os.Stdin, maxBodyBytes))
	case c.File != "":
		return os.ReadFile(c.File)
	}
	body := map[string]any{"size": c.Size}
	if c.Query != "" {
		var query any
		if err := json.Unmarshal([]byte(c.Query), &query); err != nil {
			return nil, fmt.Errorf("--query: %w", err)
		}
		body["query"] = query
	}
	return json.Marshal(body)
}

func (c *searchCommand) request(body []byte) (*http.Request, error) {
	if c.Index != "" {
		return c.openSearchRequest(body)
	}
	return c.apiRequest(body)
}

func (c *searchCommand) openSearchRequest(body []byte) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/%s/_search?cancel_after_time_interval=%dms", c.Address, c.Index, c.Wait.Milliseconds())
	if len(c.Blocks) > 0 {
		url += "&preference=_shards:" + strings.Trim(strings.ReplaceAll(fmt.Sprint(c.Blocks), " ", ","), "[]")
	}
	return http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
}

// apiRequest is a request of the program's own search API, with an equal portion of the result for each block.
func (c *searchCommand) apiRequest(body []byte) (*http.Request, error) {
	if len(c.Blocks) == 0 {
		return nil, fmt.Errorf("--blocks are needed on the own front")
	}
	var ranges []string
	for _, block := range c.Blocks {
		ranges = append(ranges, fmt.Sprintf(`{"range":%d,"portion":%g}`, block, 1/float64(len(c.Blocks))))
	}
	predicate, err := json.Marshal(string(body))
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.Address+"/"+c.Type,
		strings.NewReader(fmt.Sprintf(`{"ranges":[%s],"predicate":%s}`, strings.Join(ranges, ","), predicate)))
	if err != nil {
		return nil, err
	}
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	for name, value := range map[string]string{
		"X-Request-Id": fmt.Sprintf("%x", id), "X-Class": c.Type, "X-Tenant": c.Partner,
		"X-Deadline": strconv.FormatFloat(c.Wait.Seconds(), 'f', 3, 64),
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}
