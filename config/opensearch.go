package config

import (
	"fmt"
	"slices"
	"strings"

	"chalkring/opensearch/query"
)

// maxIndices bounds the indices of the frontend.
const maxIndices = 64

// OpenSearch is the frontend that speaks the OpenSearch-style API.
type OpenSearch struct {
	Listen  string  `yaml:"listen"`
	TLS     *TLS    `yaml:"tls"` // certificate and key; with authorities, clients need a certificate too
	Indices []Index `yaml:"indices"`
}

// Index says how searches of one index are balanced.
type Index struct {
	Name   string `yaml:"name"`
	Type   string `yaml:"type"`    // search class, as the plan's settings name it
	Tenant string `yaml:"partner"` // likewise; empty where the plan names none
	Blocks []int  `yaml:"blocks"`  // blocks that hold its members

	Placement *query.Placement `yaml:"placed"` // how members are placed in blocks; nil where that is not by the API's rule
}

// HostKind is a kind of host that speaks the OpenSearch-style API.
type HostKind struct {
	Index     string           `yaml:"index"`  // in which it keeps members
	Placement *query.Placement `yaml:"placed"` // as in Index
}

func (c *checker) checkOpenSearch(frontend *OpenSearch) {
	if frontend == nil {
		return
	}
	c.checkAddress("$.opensearch.listen", frontend.Listen)
	c.checkTLS("$.opensearch.tls", frontend.TLS, "certificate", "key")
	if count := len(frontend.Indices); count == 0 || count > maxIndices {
		c.addError("$.opensearch.indices", "%d indices, 1 to %d are wanted", count, maxIndices)
	}
	seen := nameSet{}
	for i, index := range frontend.Indices {
		path := fmt.Sprintf("$.opensearch.indices[%d]", i)
		c.checkIndexName(path+".name", index.Name, seen)
		c.checkName(path+".type", index.Type)
		c.checkBlocks(path, index)
	}
}

// checkIndexName checks a name by the rules of the API, which has it in URLs.
func (c *checker) checkIndexName(path, name string, seen nameSet) {
	c.checkName(path, name)
	if strings.HasPrefix(name, "_") || strings.ContainsAny(name, ",*/?#") || name != strings.ToLower(name) {
		c.addError(path, "%q: small letters, no leading _, none of , * / ? #", name)
	}
	c.checkUnique(path, name, seen)
}

func (c *checker) checkBlocks(path string, index Index) {
	if len(index.Blocks) == 0 {
		c.addError(path+".blocks", "names no block")
	}
	sorted := slices.Sorted(slices.Values(index.Blocks))
	hasDuplicates := len(slices.Compact(slices.Clone(sorted))) < len(sorted)
	if hasDuplicates || len(sorted) > 0 && sorted[0] < 0 {
		c.addError(path+".blocks", "a block is there twice or under 0")
	}
	c.checkPlacement(path+".placed", index.Placement)
	if index.Placement == nil || len(sorted) == 0 || hasDuplicates {
		return
	}
	if largest := sorted[len(sorted)-1]; largest >= index.Placement.Shards {
		c.addError(path+".placed", "block %d is not under number_of_shards", largest)
	}
}

func (c *checker) checkPlacement(path string, placement *query.Placement) {
	if placement != nil && !placement.IsValid() {
		c.addError(path, "number_of_shards is from 1 to 1024, number_of_routing_shards a multiple of it or left out")
	}
}
