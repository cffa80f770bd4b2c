package sheetparser

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

const (
	// rowsKey is the only key at the top of a YAML sheet.
	rowsKey = "rows"
	// maxYAMLLine bounds a line, in bytes. Block collections nest within a line,
	// and the YAML library parses nested collections by recursion.
	maxYAMLLine = 4 << 10
	// maxYAMLIndicators bounds the number of characters that can open a nested node
	// in flow style, for the same reason. A row in flow style needs one.
	maxYAMLIndicators = 2 * sheet.MaxRows
	yamlIndicators    = "[{!&?"
)

// yamlErrorPosition matches the line and column with which the messages of the
// YAML library start.
var yamlErrorPosition = regexp.MustCompile(`^\[(\d+):(\d+)\] ([^\n]*)`)

func (p *Parser) readYAML(data []byte) []rawRow {
	data = bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))
	if !p.checkYAMLBounds(data) {
		return nil
	}
	file, err := parseYAML(data)
	if err != nil {
		p.addYAMLError(err)
		return nil
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		p.addError(Position{1, 1}, "", "the sheet is empty", "start with the line rows: and a list of rows")
		return nil
	}
	if len(file.Docs) > 1 {
		p.addError(nodePosition(file.Docs[1]), "", "the file has more than one YAML document", "keep one document")
	}
	return p.readYAMLRows(file.Docs[0].Body)
}

func (p *Parser) checkYAMLBounds(data []byte) bool {
	for i, line := range bytes.Split(data, []byte("\n")) {
		if len(line) > maxYAMLLine {
			p.addError(Position{i + 1, maxYAMLLine + 1}, "", "the line is too long", fmt.Sprintf("at most %d bytes are allowed", maxYAMLLine))
			return false
		}
	}
	n := 0
	for _, b := range data {
		if strings.IndexByte(yamlIndicators, b) >= 0 {
			n++
		}
	}
	if n > maxYAMLIndicators {
		p.addError(Position{1, 1}, "", fmt.Sprintf("the file has more than %d of the characters %s", maxYAMLIndicators, yamlIndicators), "write one key in each line")
		return false
	}
	return true
}

// parseYAML converts a panic of the YAML library to an error, so that a malformed
// file does not crash the process.
func parseYAML(data []byte) (file *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("[1:1] the YAML library failed: %v", r)
		}
	}()
	return parser.ParseBytes(data, 0)
}

func (p *Parser) addYAMLError(err error) {
	at, message := Position{1, 1}, strings.SplitN(err.Error(), "\n", 2)[0]
	if m := yamlErrorPosition.FindStringSubmatch(err.Error()); m != nil {
		at.Line, _ = strconv.Atoi(m[1])
		at.Column, _ = strconv.Atoi(m[2])
		message = m[3]
	}
	p.addError(at, "", "malformed YAML: "+message, "correct the syntax; put * and text with special characters in quotes")
}

func (p *Parser) readYAMLRows(body ast.Node) []rawRow {
	var rows []rawRow
	seen := false
	for _, entry := range p.mappingEntries(body, "start with the line rows: and a list of rows") {
		key, ok := entryKey(entry)
		switch {
		case !ok || key != rowsKey:
			p.addError(nodePosition(entry.Key), "", fmt.Sprintf("unknown key %q", key), "use the key rows only")
		case seen:
			p.addError(nodePosition(entry.Key), "", "the key rows appears twice", "keep one list of rows")
		default:
			seen = true
			rows = p.readYAMLList(entry.Value)
		}
	}
	return rows
}

func (p *Parser) readYAMLList(node ast.Node) []rawRow {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		p.addError(nodePosition(node), "", "the value of rows is not a list", "start each row with a dash")
		return nil
	}
	var rows []rawRow
	for i, item := range list.Values {
		if i >= sheet.MaxRows {
			p.addTooManyRows(nodePosition(item))
			break
		}
		rows = append(rows, p.readYAMLRow(item))
	}
	return rows
}

func (p *Parser) readYAMLRow(item ast.Node) rawRow {
	row := rawRow{at: nodePosition(item), cells: map[sheet.Column]cell{}}
	entries := p.mappingEntries(item, "write the row as keys and values")
	row.invalid = len(entries) == 0
	for _, entry := range entries {
		at := nodePosition(entry.Key)
		name, ok := entryKey(entry)
		if !ok {
			p.addError(at, "", "the key is not a plain name", "use "+columnList())
			continue
		}
		c, ok := p.findColumn(at, name)
		if !ok {
			continue
		}
		if _, duplicate := row.cells[c]; duplicate {
			p.addError(at, c, "the key appears twice in the row", "keep one of them")
			continue
		}
		text, ok := scalarText(entry.Value)
		if !ok {
			p.addError(nodePosition(entry.Value), c, "the value is not a single plain value", "write one value; put * in quotes")
		}
		row.cells[c] = cell{strings.TrimSpace(text), nodePosition(entry.Value)}
	}
	return row
}

// mappingEntries returns the entries of a mapping node and reports an error for
// other and empty nodes.
func (p *Parser) mappingEntries(node ast.Node, fix string) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return n.Values
		}
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	p.addError(nodePosition(node), "", "expected keys and values", fix)
	return nil
}

func entryKey(entry *ast.MappingValueNode) (string, bool) {
	node, ok := entry.Key.(ast.Node)
	if !ok {
		return "", false
	}
	return scalarText(node)
}

// scalarText returns the text of a plain or quoted value. Anchors, aliases, tags
// and collections are refused, so that a small file cannot expand to a large one.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case nil, *ast.NullNode:
		return "", true
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		if t := n.GetToken(); t != nil {
			return t.Value, true
		}
	}
	return "", false
}

// nodePosition returns the position of a node, or the start of the file when the
// node has no token.
func nodePosition(node any) Position {
	t := nodeToken(node)
	if t == nil || t.Position == nil {
		return Position{1, 1}
	}
	return Position{t.Position.Line, t.Position.Column}
}

func nodeToken(node any) *token.Token {
	if doc, ok := node.(*ast.DocumentNode); ok {
		if doc.Body == nil {
			// GetToken of a document without a body dereferences nil.
			return doc.Start
		}
		node = doc.Body
	}
	if n, ok := node.(ast.Node); ok && n != nil {
		return n.GetToken()
	}
	return nil
}
