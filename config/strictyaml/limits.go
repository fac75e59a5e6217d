package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

const (
	maxNesting = 32     // collections within each other; the parser's memory grows with the square of the depth
	maxKeys    = 10_000 // of one mapping in block form; the parser's time grows with their square

	// Aliases may stand for so many nodes together: one for each aliasedBytesPerNode bytes that a file may have, and
	// minAliasedNodes in any case. Without a limit, a few aliases of aliases would stand for millions.
	aliasedBytesPerNode = 64
	minAliasedNodes     = 10_000
)

// invalidAt returns an error at a token.
func invalidAt(at *token.Token, format string, args ...any) error {
	return &InvalidFileError{
		Line: at.Position.Line, Column: at.Position.Column, Problem: fmt.Sprintf(format, args...), Remedy: defaultRemedy,
	}
}

// collection is an open block collection: those that begin further right are within it.
type collection struct {
	column int
	keys   int // of a mapping
}

// structure follows the nesting of collections through a file's tokens.
type structure struct {
	blocks    []collection
	flowDepth int
	flowRun   int  // "-" and "?" in a row within flow collections, which the parser takes for nested block collections
	line      int  // of the last token
	mayBegin  bool // the next token may begin a block collection on the same line, since "-" or "?" was the last
}

// checkStructure returns an error for tokens that the parser would need too much memory or time for, and for tags that
// nothing here gives a meaning to.
func checkStructure(tokens token.Tokens) error {
	var open structure
	for _, current := range tokens {
		if current.Type == token.CommentType {
			continue
		}
		if current.Type == token.TagType && token.ReservedTagKeywordMap[token.ReservedTagKeyword(current.Value)] == nil {
			return invalidAt(current, "tag %.40s is not supported; write the value itself, without a tag", current.Value)
		}
		open.add(current)
		if len(open.blocks)+open.flowDepth+open.flowRun > maxNesting {
			return invalidAt(current, "lists and mappings are nested over %d deep", maxNesting)
		}
		if n := len(open.blocks); n > 0 && open.blocks[n-1].keys > maxKeys {
			return invalidAt(current, "a mapping has over %d keys", maxKeys)
		}
	}
	return nil
}

// add follows one token.
func (s *structure) add(current *token.Token) {
	isIndicator := current.Type == token.SequenceEntryType || current.Type == token.MappingKeyType
	isFirst := current.Position.Line != s.line
	if s.flowDepth == 0 && (isFirst || s.mayBegin) {
		s.beginBlock(current.Position.Column, isIndicator)
	}
	s.line, s.mayBegin = current.Position.Line, isIndicator
	if s.flowRun++; !isIndicator || s.flowDepth == 0 {
		s.flowRun = 0
	}
	switch current.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.flowDepth++
	case token.SequenceEndType, token.MappingEndType:
		s.flowDepth = max(0, s.flowDepth-1)
	}
}

// beginBlock follows a token at which an entry of a block collection may begin.
func (s *structure) beginBlock(column int, isIndicator bool) {
	n := len(s.blocks)
	for n > 0 && s.blocks[n-1].column > column {
		n--
	}
	s.blocks = s.blocks[:n]
	if n == 0 || s.blocks[n-1].column < column {
		s.blocks = append(s.blocks, collection{column: column})
		n++
	}
	if !isIndicator {
		s.blocks[n-1].keys++
	}
}

// aliasCounter counts the nodes that a file's aliases stand for.
type aliasCounter struct {
	anchors map[string]int // nodes, by the anchor's name
	aliased int
	limit   int
}

// checkAliases returns an error if the aliases of a file of at most maxBytes stand for too many nodes.
func checkAliases(file *ast.File, maxBytes int) error {
	counter := aliasCounter{anchors: map[string]int{}, limit: max(minAliasedNodes, maxBytes/aliasedBytesPerNode)}
	for _, document := range file.Docs {
		counter.count(document.Body)
	}
	if counter.aliased > counter.limit {
		return &InvalidFileError{
			Problem: fmt.Sprintf("the aliases stand for over %d values", counter.limit), Remedy: "Write fewer aliases of long or nested anchors.",
		}
	}
	return nil
}

// count returns how many nodes a node stands for. It counts no further than to just over the limit.
func (c *aliasCounter) count(node ast.Node) (nodes int) {
	switch node := node.(type) {
	case *ast.MappingNode:
		for _, value := range node.Values {
			nodes += c.count(value)
		}
	case *ast.MappingValueNode:
		nodes = c.count(node.Key) + c.count(node.Value)
	case *ast.MappingKeyNode:
		nodes = c.count(node.Value)
	case *ast.SequenceNode:
		for _, value := range node.Values {
			nodes += c.count(value)
		}
	case *ast.TagNode:
		nodes = c.count(node.Value)
	case *ast.AnchorNode:
		nodes = c.count(node.Value)
		c.anchors[node.Name.GetToken().Value] = nodes
	case *ast.AliasNode:
		nodes = c.anchors[node.Value.GetToken().Value]
		c.aliased = min(c.aliased+nodes, c.limit+1)
	}
	return min(nodes+1, c.limit+1)
}
