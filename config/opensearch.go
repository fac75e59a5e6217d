package config

import (
	"fmt"
	"slices"
	"strings"

	"chalkring/opensearch/query"
)

// maxIndices limits the indices of the frontend.
const maxIndices = 64

// OpenSearch configures the frontend that serves the OpenSearch-style API.
type OpenSearch struct {
	Listen  string  `yaml:"listen"`
	TLS     *TLS    `yaml:"tls"` // certificate and key; if authorities are given, clients need a certificate too
	Indices []Index `yaml:"indices"`
}

// Index gives the class and the tenant of the searches of an index, and the blocks that they search.
type Index struct {
	Name   string `yaml:"name"`
	Type   string `yaml:"type"`    // search class, by its name in the plan's settings
	Tenant string `yaml:"partner"` // tenant, by its name in the plan's settings; empty if the plan names none
	Blocks []int  `yaml:"blocks"`  // blocks that hold the index's documents

	Placement *query.Placement `yaml:"placed"` // how documents are assigned to blocks; nil if not by the API's routing rule
}

// HostKind configures a kind of hosts that speak the OpenSearch-style API.
type HostKind struct {
	Index     string           `yaml:"index"`  // name of the index on these hosts that holds the documents
	Placement *query.Placement `yaml:"placed"` // as in Index
}

func (c *checker) checkOpenSearch(frontend *OpenSearch) {
	if frontend == nil {
		return
	}
	c.checkAddress("$.opensearch.listen", frontend.Listen)
	c.checkTLS("$.opensearch.tls", frontend.TLS, "certificate", "key")
	if count := len(frontend.Indices); count == 0 || count > maxIndices {
		c.addError("$.opensearch.indices", "%d indices; expected 1 to %d", count, maxIndices)
	}
	seen := nameSet{}
	for i, index := range frontend.Indices {
		path := fmt.Sprintf("$.opensearch.indices[%d]", i)
		c.checkIndexName(path+".name", index.Name, seen)
		c.checkName(path+".type", index.Type)
		c.checkBlocks(path, index)
	}
}

// checkIndexName checks a name by the rules of the API, which uses it in URLs.
func (c *checker) checkIndexName(path, name string, seen nameSet) {
	c.checkName(path, name)
	if strings.HasPrefix(name, "_") || strings.ContainsAny(name, ",*/?#") || name != strings.ToLower(name) {
		c.addError(path, "%q is not a valid index name; expected lower-case letters, no leading _ and none of , * / ? #", name)
	}
	c.checkUnique(path, name, seen)
}

func (c *checker) checkBlocks(path string, index Index) {
	if len(index.Blocks) == 0 {
		c.addError(path+".blocks", "lists no blocks")
	}
	sorted := slices.Sorted(slices.Values(index.Blocks))
	hasDuplicates := len(slices.Compact(slices.Clone(sorted))) < len(sorted)
	if hasDuplicates || len(sorted) > 0 && sorted[0] < 0 {
		c.addError(path+".blocks", "a block is repeated or less than 0")
	}
	c.checkPlacement(path+".placed", index.Placement)
	if index.Placement == nil || len(sorted) == 0 || hasDuplicates {
		return
	}
	if largest := sorted[len(sorted)-1]; largest >= index.Placement.Shards {
		c.addError(path+".placed", "block %d is not less than number_of_shards", largest)
	}
}

func (c *checker) checkPlacement(path string, placement *query.Placement) {
	if placement != nil && !placement.IsValid() {
		c.addError(path, "number_of_shards must be from 1 to 1024, and number_of_routing_shards a multiple of it or left out")
	}
}
